// Package apikey keeps API keys as digests, so that no key stands in memory, logs or messages between nodes.
package apikey

import "crypto/sha256"

// Digest stands for a key. It is a truncated SHA-256: 128 bits, since it travels for each key of a
// configuration. Looking a digest up tells nothing of the keys that it is compared with.
type Digest [16]byte

// Sum returns the digest of a key.
func Sum(key []byte) Digest {
	sum := sha256.Sum256(key)
	return Digest(sum[:len(Digest{})])
}
