package shed

// This file holds the retry budget: what each first dispatch earns, what other members leave unused, and when
// retries stop. A member never lends what it may still spend, and no more than a short burst is saved up.

import (
	"math"

	"ivybank/fleet/aggregate"
)

const (
	// A member may save up what it earns in burstWindow, and at least minBurst.
	burstWindow  = 2 * sec
	minBurst     = 2.0
	lendFraction = 0.7 // of what others leave unused; the rest allows for the delay of their reports
	stopAbove    = 0.5 // failing part of the dispatches above which a retry helps nobody
	resumeBelow  = 0.3 // failing part at which retries resume
)

// RetryBudget is one member's part of the budget, in dispatches.
type RetryBudget struct {
	Ratio     float64 // retries per first dispatch
	tokens    float64
	steppedAt int64
	Stopped   bool // most dispatches of the fleet fail
}

// NewRetryBudget returns a budget with one retry to spend.
func NewRetryBudget(ratio float64, now int64) *RetryBudget {
	return &RetryBudget{Ratio: ratio, tokens: 1, steppedAt: now}
}

// EarnFirst adds what a first dispatch earns.
func (b *RetryBudget) EarnFirst() { b.tokens += b.Ratio }

// SpendRetry takes one retry.
func (b *RetryBudget) SpendRetry() { b.tokens-- }

// Available returns how many retries are allowed now.
func (b *RetryBudget) Available() int {
	if b.Stopped {
		return 0
	}
	return int(max(0, math.Floor(b.tokens)))
}

// Step lends what other members leave unused to those that want more retries than they have, in proportion. all is
// the load of the fleet, and own this member's part of it. For a member that is alone or cut off they are equal,
// and nothing is lent.
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
	if wantedByAll, wantedHere := all.RetriesWanted-all.Retries, own.RetriesWanted-own.Retries; unused > 0 &&
		wantedHere > 0 && wantedByAll > 0 {
		b.tokens += lendFraction * unused * min(1, wantedHere/wantedByAll) * min(elapsed, 1)
	}
	b.tokens = min(b.tokens, max(minBurst, b.Ratio*own.First*float64(burstWindow)/float64(sec)))
}
