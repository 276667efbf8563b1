package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"strings"
)

// requestPrefix begins the keys of whole requests. Ids of parts of prompts hold no colon.
const requestPrefix = "request:"

// requestKeyBytes is the length of the digest in a key.
const requestKeyBytes = 16

// RequestKey returns a key for a whole request, which stands last among its parts. The
// fields are all that determines the work of an endpoint, so that repeats of the request
// have the same key at each entry, and requests that differ in any field have others.
func RequestKey(fields [][]byte) string {
	digest := sha256.New()
	for _, field := range fields {
		writeField(digest, field)
	}
	return requestPrefix + hex.EncodeToString(digest.Sum(nil)[:requestKeyBytes])
}

// writeField adds a field to the digest after its length, which keeps the bytes of one
// field from being taken for those of another.
func writeField(digest hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	digest.Write(length[:])
	digest.Write(field)
}

// isRequest reports whether the part is the key of a whole request.
func isRequest(part string) bool { return strings.HasPrefix(part, requestPrefix) }
