package coordination

import (
	"github.com/cespare/xxhash/v2"

	"ivybank/wire"
)

// PartOf gives the part, from 0, that a command belongs to: all keys of a group, and its watches, to one. There is at least
// one part.
func PartOf(c *wire.Command, parts int) int {
	return int(xxhash.Sum64String(partitionKey(c)) % uint64(parts))
}

// partitionKey names what isn't divided among parts: a lock, a number or a group of keys. Those with the same name can be in
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
