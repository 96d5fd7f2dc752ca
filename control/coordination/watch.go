package coordination

import (
	"slices"

	"ivybank/wire"
)

// watchGroup tells the puts of a group after a revision, and reports whether there is something to tell. The answer's
// revision is the one up to which it tells all.
func (s *State) watchGroup(c *wire.Command) (wire.Answer, bool) {
	g := s.keys.groups[c.Name]
	if g == nil {
		return wire.Answer{Outcome: wire.Done}, c.After == 0
	}
	switch {
	case c.After == 0:
		return wire.Answer{Outcome: wire.Done, Revision: g.revision}, true
	case c.After < g.compactedRevision():
		return wire.Answer{Outcome: wire.Compacted}, true
	case c.After >= g.revision:
		return wire.Answer{Outcome: wire.Done, Revision: g.revision}, false
	}
	events := slices.Clone(limitEvents(g.puts[c.After-g.compactedRevision():]))
	return wire.Answer{Outcome: wire.Done, Revision: events[len(events)-1].Revision, Events: events}, true
}

// limitEvents gives as many puts, at least one, as go into one answer.
func limitEvents(puts []wire.Change) []wire.Change {
	bytes := 0
	for i, change := range puts {
		bytes += textBytes(change.Key, change.Value)
		if i == MaxEvents || i > 0 && bytes > MaxEventBytes {
			return puts[:i]
		}
	}
	return puts
}
