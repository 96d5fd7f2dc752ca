package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/control/store"
)

// callKind is the kind of an operator's call.
type callKind int

const (
	replaceKind callKind = iota
	readKind
)

// callOutcome is what the operator knows about the effect of a call.
type callOutcome int

const (
	outcomeUnknown  callOutcome = iota // no answer or a 5xx: it may have taken effect, or may do so later
	outcomeAccepted                    // 200
	outcomeConflict                    // 412: another version was current, and this update had not been accepted
	outcomeInvalid                     // 400: the update is not valid on the current version
	outcomeNoEffect                    // a redirect, or a refusal because of overload: no effect
)

// version is one configuration that may be current; the zero version is the state before the first.
type version struct {
	revision int64
	digest   store.Digest // of the update that made it
}

// callRecord is one HTTP call of an operator, from sending to answer.
type callRecord struct {
	kind    callKind
	base    int64
	version version // of an update
	valid   bool
	sent    time.Duration
	done    time.Duration // when the answer arrived; endless for none
	outcome callOutcome
	read    version // of a read
}

const endless = time.Duration(1<<63 - 1)

// linearizabilityChecker searches for a linearization of the calls on one compare-and-swap register (Wing and Gong
// 1993, with the memoization of Lowe 2017). Calls without a definite answer may take effect at any time after they
// were sent, or never.
type linearizabilityChecker struct {
	calls  []callRecord
	placed []bool
	seen   map[string]struct{}
	steps  int
}

const maxSearchSteps = 5_000_000

// linearizable reports whether a linearization exists. It returns an error if the search exceeds maxSearchSteps.
func linearizable(calls []callRecord) (bool, error) {
	c := &linearizabilityChecker{seen: map[string]struct{}{}}
	for _, record := range calls {
		if record.outcome != outcomeNoEffect && !(record.kind == readKind && record.outcome == outcomeUnknown) {
			c.calls = append(c.calls, record)
		}
	}
	c.placed = make([]bool, len(c.calls))
	ok := c.search(version{}, nil)
	if c.steps > maxSearchSteps {
		return false, fmt.Errorf("no result after %d steps for %d calls", c.steps, len(c.calls))
	}
	return ok, nil
}

// search places one more call, given the current version and the updates accepted so far.
func (c *linearizabilityChecker) search(current version, accepted []version) bool {
	if c.steps++; c.steps > maxSearchSteps {
		return false
	}
	latest, remaining := endless, false
	for i, record := range c.calls {
		if !c.placed[i] && record.outcome != outcomeUnknown {
			remaining = true
			latest = min(latest, record.done)
		}
	}
	if !remaining {
		return true
	}
	key := c.key(current, accepted)
	if _, visited := c.seen[key]; visited {
		return false
	}
	c.seen[key] = struct{}{}
	for i, record := range c.calls {
		if c.placed[i] || record.sent > latest {
			continue
		}
		next, accepts, fits := record.apply(current, accepted)
		if !fits {
			continue
		}
		c.placed[i] = true
		after := accepted
		if accepts {
			after = append(accepted[:len(accepted):len(accepted)], record.version)
		}
		if c.search(next, after) {
			return true
		}
		c.placed[i] = false
	}
	return false
}

// key identifies a state of the search: the answered calls that are placed, the accepted updates and the current
// version.
func (c *linearizabilityChecker) key(current version, accepted []version) string {
	bits := make([]byte, 0, len(c.calls)/8+32)
	var b byte
	for i, placed := range c.placed {
		b <<= 1
		if placed && c.calls[i].outcome != outcomeUnknown {
			b |= 1
		}
		if i%8 == 7 {
			bits, b = append(bits, b), 0
		}
	}
	bits = append(bits, b)
	var all store.Digest
	for _, v := range accepted {
		for i := range all {
			all[i] ^= v.digest[i]
		}
	}
	return string(bits) + string(current.digest[:]) + string(all[:]) + fmt.Sprint(current.revision)
}

// apply reports whether a call can have had its answer with current as the current version, and returns the next one.
func (record *callRecord) apply(current version, accepted []version) (next version, accepts, fits bool) {
	if record.kind == readKind {
		return current, false, record.read == current
	}
	alreadyAccepted := false
	for _, v := range accepted {
		alreadyAccepted = alreadyAccepted || v == record.version
	}
	possible := record.valid && record.base == current.revision && record.version.revision > current.revision
	switch record.outcome {
	case outcomeAccepted, outcomeUnknown:
		if alreadyAccepted {
			return current, false, record.outcome == outcomeAccepted
		}
		return record.version, true, possible
	case outcomeConflict:
		return current, false, !alreadyAccepted && record.base != current.revision
	default:
		return current, false, !alreadyAccepted && (!record.valid || record.base == current.revision &&
			record.version.revision <= current.revision)
	}
}

func versionOf(base, revision int64, body string) version {
	return version{revision, store.DigestOf(base, []byte(body))}
}

func TestLinearizabilityChecker(t *testing.T) {
	a, b := versionOf(0, 3, "a"), versionOf(0, 3, "b")
	after := versionOf(3, 5, "c")
	replace := func(base int64, v version, sent, done int, o callOutcome) callRecord {
		return callRecord{kind: replaceKind, base: base, version: v, valid: true, sent: time.Duration(sent),
			done: time.Duration(done), outcome: o}
	}
	read := func(v version, sent, done int) callRecord {
		return callRecord{kind: readKind, sent: time.Duration(sent), done: time.Duration(done), outcome: outcomeAccepted,
			read: v}
	}
	lost := func(base int64, v version, sent int) callRecord {
		c := replace(base, v, sent, 0, outcomeUnknown)
		c.done = endless
		return c
	}
	for name, one := range map[string]struct {
		calls []callRecord
		ok    bool
	}{
		"sequential": {[]callRecord{
			replace(0, a, 1, 2, outcomeAccepted),
			replace(3, after, 3, 4, outcomeAccepted),
			read(after, 5, 6),
		}, true},
		"repeated": {[]callRecord{
			replace(0, a, 1, 2, outcomeAccepted),
			replace(0, a, 3, 4, outcomeAccepted),
			read(a, 5, 6),
		}, true},
		"repeated after others": {[]callRecord{
			replace(0, a, 1, 2, outcomeAccepted),
			replace(3, after, 3, 4, outcomeAccepted),
			replace(0, a, 5, 6, outcomeAccepted),
			read(after, 7, 8),
		}, true},
		"two accepted on one version": {[]callRecord{
			replace(0, a, 1, 5, outcomeAccepted),
			replace(0, b, 1, 5, outcomeAccepted),
		}, false},
		"one of two accepted on one version": {[]callRecord{
			replace(0, a, 1, 5, outcomeAccepted),
			replace(0, b, 1, 5, outcomeConflict),
			read(a, 6, 7),
		}, true},
		"the rejected one is read": {[]callRecord{
			replace(0, a, 1, 5, outcomeAccepted),
			replace(0, b, 1, 5, outcomeConflict),
			read(b, 6, 7),
		}, false},
		"rejected after it was accepted": {[]callRecord{
			replace(0, a, 1, 2, outcomeAccepted),
			replace(0, a, 3, 4, outcomeConflict),
		}, false},
		"no answer, then rejected": {[]callRecord{
			lost(0, a, 1),
			replace(0, b, 2, 3, outcomeAccepted),
			replace(0, a, 4, 5, outcomeConflict),
		}, true},
		"no answer, took effect":              {[]callRecord{lost(0, a, 1), read(a, 5, 6)}, true},
		"no answer, no effect":                {[]callRecord{lost(0, a, 1), read(version{}, 5, 6)}, true},
		"no answer, took effect after a read": {[]callRecord{lost(0, a, 1), read(version{}, 2, 3), read(a, 5, 6)}, true},
		"no answer, took effect, then lost":   {[]callRecord{lost(0, a, 1), read(a, 2, 3), read(version{}, 5, 6)}, false},
		"an old version is read": {[]callRecord{
			replace(0, a, 1, 2, outcomeAccepted),
			replace(3, after, 3, 4, outcomeAccepted),
			read(a, 5, 6),
		}, false},
		"an old version is read concurrently": {[]callRecord{
			replace(0, a, 1, 2, outcomeAccepted),
			replace(3, after, 3, 6, outcomeAccepted),
			read(a, 4, 5),
		}, true},
		"acknowledged and lost": {[]callRecord{
			replace(0, a, 1, 2, outcomeAccepted),
			read(version{}, 3, 4),
		}, false},
	} {
		ok, err := linearizable(one.calls)
		assert.NilError(t, err)
		assert.Equal(t, ok, one.ok, name)
	}
}
