package bundle

import (
	"bytes"
	"hash/fnv"
	"strings"
)

const (
	// partEntries is the mean number of table entries in one part.
	partEntries = 128
	// digestLength is the length of a digest in hex.
	digestLength = 64
)

// tableStart begins the line of a table entry in TOML.
var tableStart = []byte("\n[[")

// Split cuts a bundle's content before some of its table entries. Whether it
// cuts depends on the entry alone, so that a change of one entry changes only
// the parts around it. The parts joined are the content.
func Split(content []byte) [][]byte {
	parts := [][]byte{}
	start, entry := 0, 0
	for {
		next := bytes.Index(content[entry+1:], tableStart)
		if next < 0 {
			return append(parts, content[start:])
		}
		entry += 1 + next
		if cutsBefore(content[entry:]) {
			parts = append(parts, content[start:entry])
			start = entry
		}
	}
}

func cutsBefore(rest []byte) bool {
	end := bytes.Index(rest[1:], tableStart)
	if end >= 0 {
		rest = rest[:end+1]
	}
	h := fnv.New64a()
	_, _ = h.Write(rest)
	return h.Sum64()%partEntries == 0
}

// newManifest lists the digests of the parts, one a line.
func newManifest(parts [][]byte) []byte {
	text := &bytes.Buffer{}
	for _, p := range parts {
		text.WriteString(Digest(p))
		text.WriteByte('\n')
	}
	return text.Bytes()
}

// ParseManifest returns the digests in a manifest, in order, or false if it is
// malformed.
func ParseManifest(manifest []byte) ([]string, bool) {
	digests := strings.Split(strings.TrimSuffix(string(manifest), "\n"), "\n")
	for _, d := range digests {
		if len(d) != digestLength {
			return nil, false
		}
	}
	return digests, true
}

// MalformedManifestError reports a manifest that lists no digests.
type MalformedManifestError struct{}

func (*MalformedManifestError) Error() string { return "manifest does not list the digests of parts" }

// Assemble sets the content from parts, which get returns by digest. It fails
// if a part does not match its digest.
func (s *Signed) Assemble(get func(digest string) ([]byte, error)) error {
	digests, ok := ParseManifest(s.Manifest)
	if !ok {
		return &MalformedManifestError{}
	}
	content := []byte{}
	for _, d := range digests {
		part, err := get(d)
		if err != nil {
			return err
		}
		if got := Digest(part); got != d {
			return &DigestMismatchError{Want: d, Got: got}
		}
		content = append(content, part...)
	}
	s.Content = content
	return nil
}

// Parts returns the parts of the content by digest.
func (s *Signed) Parts() map[string][]byte {
	parts := map[string][]byte{}
	if s == nil {
		return parts
	}
	for _, p := range Split(s.Content) {
		parts[Digest(p)] = p
	}
	return parts
}
