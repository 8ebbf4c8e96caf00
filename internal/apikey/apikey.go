// Package apikey represents API keys by digests, so that no key is kept in memory, logs or messages between nodes.
package apikey

import "crypto/sha256"

// Digest represents a key. It is SHA-256 truncated to 128 bits to keep messages small, because a
// configuration is sent with the digest of each key. Looking up a digest reveals nothing about the keys
// with which it is compared.
type Digest [16]byte

// Sum returns the digest of a key.
func Sum(key []byte) Digest {
	sum := sha256.Sum256(key)
	return Digest(sum[:len(Digest{})])
}
