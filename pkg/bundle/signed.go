package bundle

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Signed is a bundle's content with the signature of an operator.
type Signed struct {
	Version uint64 `json:"version"`
	// Digest is the hex SHA-256 of Manifest.
	Digest string `json:"digest"`
	// Author is the name of the operator key that made the signature.
	Author    string `json:"author"`
	Signature []byte `json:"signature"`
	// Manifest lists the digests of the content's parts. It is empty in a bundle
	// pointer, which refers to the content only by Digest.
	Manifest []byte `json:"-"`
	// Content is the TOML text; empty until Assemble sets it.
	Content []byte `json:"-"`
}

// KeySet maps the names of operator keys to the public keys.
type KeySet map[string]ed25519.PublicKey

// UntrustedError reports a signature that does not verify with the author's
// trusted key, or whose author has none.
type UntrustedError struct{ Author string }

func (e *UntrustedError) Error() string {
	return fmt.Sprintf("signature of %q does not verify with a trusted operator key", e.Author)
}

// DigestMismatchError reports a manifest or a part that does not match its digest.
type DigestMismatchError struct{ Want, Got string }

func (e *DigestMismatchError) Error() string {
	return fmt.Sprintf("content digest is %s, want %s", e.Got, e.Want)
}

// VersionMismatchError reports content whose version differs from the signed
// version.
type VersionMismatchError struct{ Signed, Content uint64 }

func (e *VersionMismatchError) Error() string {
	return fmt.Sprintf("signed as version %d but the content says %d", e.Signed, e.Content)
}

// Digest returns the SHA-256 of the content in hex.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Sign validates the content and signs it with the operator's private key.
func Sign(content []byte, author string, key ed25519.PrivateKey) (*Signed, error) {
	b, err := Parse(content)
	if err != nil {
		return nil, err
	}
	s := &Signed{Version: b.Version, Author: author}
	s.SetContent(content)
	s.Digest = Digest(s.Manifest)
	s.Signature = ed25519.Sign(key, s.message())
	return s, nil
}

// SetContent sets the content and computes the manifest of its parts.
func (s *Signed) SetContent(content []byte) {
	s.Content = content
	s.Manifest = newManifest(Split(content))
}

// message returns the bytes that the signature covers.
func (s *Signed) message() []byte {
	return fmt.Appendf(nil, "cicadareel bundle\n%d\n%s\n%s\n", s.Version, s.Digest, s.Author)
}

// VerifySignature checks the signature. It does not need the content.
func (s *Signed) VerifySignature(keys KeySet) error {
	key, ok := keys[s.Author]
	if !ok || !ed25519.Verify(key, s.message(), s.Signature) {
		return &UntrustedError{Author: s.Author}
	}
	return nil
}

// contentMatchesManifest reports whether the content splits into the manifest's
// parts.
func (s *Signed) contentMatchesManifest() bool {
	return bytes.Equal(newManifest(Split(s.Content)), s.Manifest)
}

// Open verifies the signature, the digest and the manifest, and parses the
// content.
func (s *Signed) Open(keys KeySet) (*Bundle, error) {
	if err := s.VerifySignature(keys); err != nil {
		return nil, err
	}
	if got := Digest(s.Manifest); got != s.Digest {
		return nil, &DigestMismatchError{Want: s.Digest, Got: got}
	}
	if !s.contentMatchesManifest() {
		return nil, &MalformedManifestError{}
	}
	b, err := Parse(s.Content)
	if err != nil {
		return nil, err
	}
	if b.Version != s.Version {
		return nil, &VersionMismatchError{Signed: s.Version, Content: b.Version}
	}
	return b, nil
}
