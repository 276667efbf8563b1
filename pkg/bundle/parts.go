package bundle

import (
	"bytes"
	"hash/fnv"
	"strings"
)

const (
	// meanEntriesPerPart is the expected number of table entries in one part.
	meanEntriesPerPart = 128
	digestLength       = 64 // hex digits of a SHA-256
)

// tableStart marks the start of an entry of an array of tables in TOML.
var tableStart = []byte("\n[[")

// Split divides a bundle's content into parts by content-defined chunking.
// Whether a part starts at a table entry depends only on the hash of that entry,
// so that a change of one entry changes only the parts around it. The
// concatenated parts are the content.
func Split(content []byte) [][]byte {
	parts := [][]byte{}
	partStart, entryStart := 0, 0
	for {
		next := bytes.Index(content[entryStart+1:], tableStart)
		if next < 0 {
			return append(parts, content[partStart:])
		}
		entryStart += 1 + next
		if startsPart(content[entryStart:]) {
			parts = append(parts, content[partStart:entryStart])
			partStart = entryStart
		}
	}
}

// startsPart reports whether the table entry at the start of rest begins a part.
func startsPart(rest []byte) bool {
	end := bytes.Index(rest[1:], tableStart)
	if end >= 0 {
		rest = rest[:end+1]
	}
	h := fnv.New64a()
	_, _ = h.Write(rest)
	return h.Sum64()%meanEntriesPerPart == 0
}

// newManifest returns the digests of the parts, one per line.
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

// MalformedManifestError reports a manifest that is not a list of digests or
// does not match the content.
type MalformedManifestError struct{}

func (*MalformedManifestError) Error() string { return "manifest does not list the digests of parts" }

// Assemble sets the content to the concatenation of the manifest's parts, which
// get returns by digest. It fails if a part does not match its digest.
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
