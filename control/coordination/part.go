package coordination

import (
	"github.com/cespare/xxhash/v2"

	"ivybank/wire"
)

// PartOf returns the index of the part to which a command belongs, starting at 0. All keys of a group and its watches
// belong to the same part. The number of parts must be at least 1.
func PartOf(c *wire.Command, parts int) int {
	return int(xxhash.Sum64String(partitionKey(c)) % uint64(parts))
}

// partitionKey returns the string whose hash decides the part. Commands on the same lock, the same number or the same
// group of keys have the same one. The prefix is part of it, so a lock and a number of the same name can be in
// different parts.
func partitionKey(c *wire.Command) string {
	switch c.Kind {
	case wire.ReplaceKey, wire.GetKey, wire.WatchGroup:
		return "keys/" + GroupOf(c.Name)
	case wire.NextNumber:
		return "numbers/" + c.Name
	default:
		return "locks/" + c.Name
	}
}
