package coordination

import (
	"slices"

	"ivybank/wire"
)

// watchGroup answers a watch with the puts of its group after a revision, and reports whether the answer is ready: a
// watch without anything to report has to wait. The answer is complete up to the revision that it names.
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

// limitEvents returns as many of the first puts as fit into one answer, and at least one.
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
