// Package rendezvous scores pairs of names for rendezvous hashing: each process
// picks its partners on its own, and the picks change little when partners come
// and go.
package rendezvous

import "hash/fnv"

// Score returns a uniformly distributed hash of the pair (a, b).
func Score(a, b string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(b))
	return mix(h.Sum64())
}

// Hash returns a uniformly distributed hash of content.
func Hash(content []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(content)
	return mix(h.Sum64())
}

// mix spreads the bits of an FNV hash with the finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
