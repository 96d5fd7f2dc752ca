package shed

// This file owns the budget for further dispatches: what each first dispatch earns, what others leave, and when there is none at
// all. It must never lend what its owner may still spend in full, nor hold more than a short burst.

import (
	"math"

	"ivybank/fleet/aggregate"
)

const (
	burstOver  = 2 * sec // what may be saved up: the earnings of so long,
	burstLeast = 2.0     // and this at the least
	lendPart   = 0.7     // of what others leave; the rest is for what the picture is late to tell
	allFail    = 0.5     // part of dispatches that fail at which a further one helps nobody
	someFail   = 0.3     // until it is down to this
)

// Spare is one member's part of the budget, in dispatches.
type Spare struct {
	Part    float64 // further dispatches to a first one
	tokens  float64
	at      int64
	Stopped bool // most dispatches of the fleet fail
}

// NewSpare begins with one to spend.
func NewSpare(part float64, now int64) *Spare { return &Spare{Part: part, tokens: 1, at: now} }

// First earns for a first dispatch.
func (s *Spare) First() { s.tokens += s.Part }

// Further spends for a further one.
func (s *Spare) Further() { s.tokens-- }

// Left is how many may go now.
func (s *Spare) Left() int {
	if s.Stopped {
		return 0
	}
	return int(max(0, math.Floor(s.tokens)))
}

// Step lends what the others leave to those that want more than they have, in proportion; all is the picture, own this member's
// part of it. Alone or cut off, all is own, and nothing is lent.
func (s *Spare) Step(all, own *aggregate.Load, now int64) {
	passed := float64(now-s.at) / float64(sec)
	s.at = now
	failing := 0.0
	if sent := all.First + all.Retries; sent > least {
		failing = all.Failed / sent
	}
	if s.Stopped {
		s.Stopped = failing > someFail
	} else {
		s.Stopped = failing > allFail
	}
	left := s.Part*(all.First-own.First) - (all.Retries - own.Retries)
	if want, mine := all.RetriesWanted-all.Retries, own.RetriesWanted-own.Retries; left > 0 && mine > 0 && want > 0 {
		s.tokens += lendPart * left * min(1, mine/want) * min(passed, 1)
	}
	s.tokens = min(s.tokens, max(burstLeast, s.Part*own.First*float64(burstOver)/float64(sec)))
}
