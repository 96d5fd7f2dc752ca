package draw

import "github.com/cespare/xxhash/v2"

// KeyHash stands for a key, and IDHash for an id, where the numbers of many pairs of both are wanted: each is hashed once.
type (
	KeyHash uint64
	IDHash  uint64
)

// HashKey hashes a key.
func HashKey(key string) KeyHash { return KeyHash(xxhash.Sum64String(key)) }

// HashID hashes an id.
func HashID(id string) IDHash { return IDHash(xxhash.Sum64String(id)) }

// RandomKey draws a key at random.
func RandomKey(dice *Dice) KeyHash { return KeyHash(mix(uint64(dice.Next() * (1 << 53)))) }

// With gives the number that belongs to a key and an id, between 0 and 1 exclusive.
func (k KeyHash) With(id IDHash) float64 { return uniform(uint64(k) ^ uint64(id)) }
