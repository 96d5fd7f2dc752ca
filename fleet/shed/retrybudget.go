package shed

// This file owns the budget for further dispatches: what each first dispatch earns, what others leave, and when there is none at
// all. It must never lend what its owner may still spend in full, nor hold more than a short burst.

import (
	"math"

	"ivybank/fleet/aggregate"
)

const (
	burstWindow  = 2 * sec // what may be saved up: the earnings of so long,
	minBurst = 2.0     // and this at the least
	lendFraction   = 0.7     // of what others leave; the rest is for what the picture is late to tell
	stopAbove    = 0.5     // part of dispatches that fail at which a further one helps nobody
	resumeBelow   = 0.3     // until it is down to this
)

// Spare is one member's part of the budget, in dispatches.
type RetryBudget struct {
	Ratio    float64 // further dispatches to a first one
	tokens  float64
	steppedAt      int64
	Stopped bool // most dispatches of the fleet fail
}

// NewSpare begins with one to spend.
func NewRetryBudget(ratio float64, now int64) *RetryBudget { return &RetryBudget{Ratio: ratio, tokens: 1, steppedAt: now} }

// First earns for a first dispatch.
func (b *RetryBudget) EarnFirst() { b.tokens += b.Ratio }

// Further spends for a further one.
func (b *RetryBudget) SpendRetry() { b.tokens-- }

// Left is how many may go now.
func (b *RetryBudget) Available() int {
	if b.Stopped {
		return 0
	}
	return int(max(0, math.Floor(b.tokens)))
}

// Step lends what the others leave to those that want more than they have, in proportion; all is the picture, own this member's
// part of it. Alone or cut off, all is own, and nothing is lent.
func (b *RetryBudget) Step(all, own *aggregate.Load, now int64) {
	elapsed := float64(now-b.steppedAt) / float64(sec)
	b.steppedAt = now
	failing := 0.0
	if sent := all.First + all.Retries; sent > minCostRate {
		failing = all.Failed / sent
	}
	if b.Stopped {
		b.Stopped = failing > resumeBelow
	} else {
		b.Stopped = failing > stopAbove
	}
	unused := b.Ratio*(all.First-own.First) - (all.Retries - own.Retries)
	if wantedByAll, wantedHere := all.RetriesWanted-all.Retries, own.RetriesWanted-own.Retries; unused > 0 && wantedHere > 0 && wantedByAll > 0 {
		b.tokens += lendFraction * unused * min(1, wantedHere/wantedByAll) * min(elapsed, 1)
	}
	b.tokens = min(b.tokens, max(minBurst, b.Ratio*own.First*float64(burstWindow)/float64(sec)))
}
