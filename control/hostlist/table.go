// Package hostlist reads the platform's list of hosts, and keeps each shard's table of them with the changes that
// make up a feed.
package hostlist

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ivybank/wire"
)

// ShardCount is the number of shards that services and tenants are divided into.
const ShardCount = 2

// maxKeptChanges is how many changes a subscriber may be behind before it gets the full table.
const maxKeptChanges = 256

// ShardOf returns the shard of a service or tenant.
func ShardOf(name string) uint32 { return uint32(xxhash.Sum64String(name) % ShardCount) }

// Table is one shard's table of hosts. It is not safe for concurrent use.
type Table struct {
	shard    uint32
	at       wire.HostsOffset
	hosts    map[string]wire.Host
	changes  []*wire.Hosts // the newest changes, in order
	snapshot *wire.Hosts   // cached full table as of at; nil before it was first requested
}

// NewTable returns the empty table of an owner that has just started with a fencing number.
func NewTable(shard uint32, term uint64) *Table {
	return &Table{shard: shard, at: wire.HostsOffset{Term: term}, hosts: map[string]wire.Host{}}
}

// At returns the position of the newest change.
func (t *Table) At() wire.HostsOffset { return t.at }

// Replace replaces the table with a newly read list, and returns the change; nil if there is none.
func (t *Table) Replace(listed []wire.Host) *wire.Hosts {
	next := make(map[string]wire.Host, len(listed))
	change := &wire.Hosts{Shard: t.shard}
	for _, h := range listed {
		next[h.ID] = h
		if had, ok := t.hosts[h.ID]; !ok || had != h {
			change.Updated = append(change.Updated, h)
		}
	}
	for id := range t.hosts {
		if _, ok := next[id]; !ok {
			change.Removed = append(change.Removed, id)
		}
	}
	first := t.at.Offset == 0
	if !first && len(change.Updated)+len(change.Removed) == 0 {
		return nil
	}
	t.at.Offset++
	change.At, change.Full, t.hosts = t.at, first, next
	t.changes = append(t.changes, change)
	if len(t.changes) > maxKeptChanges {
		t.changes = slices.Clone(t.changes[len(t.changes)-maxKeptChanges:])
	}
	return change
}

// Since returns what a subscriber that has the table as of at is missing: changes, or the full table.
func (t *Table) Since(at wire.HostsOffset) []*wire.Hosts {
	if t.at.Offset == 0 || at == t.at {
		return nil
	}
	missing := int(t.at.Offset - at.Offset)
	if at.Term == t.at.Term && at.Offset < t.at.Offset && at.Offset > 0 && missing <= len(t.changes) {
		return t.changes[len(t.changes)-missing:]
	}
	return []*wire.Hosts{t.Snapshot()}
}

// Snapshot returns the full table.
func (t *Table) Snapshot() *wire.Hosts {
	if t.snapshot == nil || t.snapshot.At != t.at {
		t.snapshot = &wire.Hosts{Shard: t.shard, At: t.at, Full: true, Updated: slices.Collect(maps.Values(t.hosts))}
	}
	return t.snapshot
}

// Replica is a subscriber's copy of one shard's table. It is not safe for concurrent use.
type Replica struct {
	At    wire.HostsOffset
	Hosts map[string]wire.Host
}

// Apply applies a change. It returns false if an earlier change is missing, and the subscriber has to subscribe
// again.
func (r *Replica) Apply(c *wire.Hosts) bool {
	if c.At.Before(r.At) {
		return true // from an earlier owner, or delayed: this copy is newer
	}
	if c.Full {
		r.At, r.Hosts = c.At, make(map[string]wire.Host, len(c.Updated))
	} else if c.At.Term != r.At.Term || c.At.Offset != r.At.Offset+1 {
		return c.At == r.At
	}
	r.At = c.At
	for _, h := range c.Updated {
		r.Hosts[h.ID] = h
	}
	for _, id := range c.Removed {
		delete(r.Hosts, id)
	}
	return true
}
