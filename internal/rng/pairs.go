package rng

import "github.com/cespare/xxhash/v2"

// KeyHash and IDHash are the hashes of a key and an ID. They let callers that need the numbers of many pairs hash each
// key and each ID only once.
type (
	KeyHash uint64
	IDHash  uint64
)

// HashKey hashes a key.
func HashKey(key string) KeyHash { return KeyHash(xxhash.Sum64String(key)) }

// HashID hashes an ID.
func HashID(id string) IDHash { return IDHash(xxhash.Sum64String(id)) }

// RandomKey returns the hash of a random key.
func RandomKey(dice *Source) KeyHash { return KeyHash(mix(uint64(dice.Next() * (1 << 53)))) }

// With combines the hashes of a key and an ID to a number between 0 and 1 exclusive.
func (k KeyHash) With(id IDHash) float64 { return uniform(uint64(k) ^ uint64(id)) }
