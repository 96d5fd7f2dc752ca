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
	replaceCall callKind = iota
	readCall
)

// callOutcome is what the operator knows about the effect of a call.
type outcome int

const (
	unknown  outcome = iota // no answer or a 5xx: it may have taken effect, or may do so later
	accept                  // 200
	conflict                // 412: another version was current, and this update had not been accepted
	invalid                 // 400: the update is not valid on the current version
	nothing                 // a redirect, or a refusal because of overload: no effect
)

// version is one configuration that may be current; the zero version is the state before the first.
type version struct {
	revision int64
	digest   store.Digest // of the update that made it
}

// callRecord is one HTTP call of an operator, from sending to answer.
type call struct {
	kind    callKind
	base    int64
	order   version // of an update
	valid   bool
	sent    time.Duration
	done    time.Duration // when the answer arrived; endless for none
	outcome outcome
	read    version // of a read
}

const endless = time.Duration(1<<63 - 1)

// linearizabilityChecker searches for a linearization of the calls on one compare-and-swap register (Wing and Gong
// 1993, with the memoization of Lowe 2017). Calls without a definite answer may take effect at any time after they
// were sent, or never.
type checker struct {
	calls  []call
	placed []bool
	seen   map[string]struct{}
	steps  int
}

const mostSteps = 5_000_000

// linearizable reports whether a linearization exists. It returns an error if the search exceeds maxSearchSteps.
func linearizable(calls []call) (bool, error) {
	c := &checker{seen: map[string]struct{}{}}
	for _, one := range calls {
		if one.outcome != nothing && !(one.kind == readCall && one.outcome == unknown) {
			c.calls = append(c.calls, one)
		}
	}
	c.placed = make([]bool, len(c.calls))
	ok := c.search(version{}, nil)
	if c.steps > mostSteps {
		return false, fmt.Errorf("no result after %d steps for %d calls", c.steps, len(c.calls))
	}
	return ok, nil
}

// search places one more call, given the current version and the updates accepted so far.
func (c *checker) search(now version, taken []version) bool {
	if c.steps++; c.steps > mostSteps {
		return false
	}
	latest, left := endless, false
	for i, one := range c.calls {
		if !c.placed[i] && one.outcome != unknown {
			left = true
			latest = min(latest, one.done)
		}
	}
	if !left {
		return true
	}
	key := c.key(now, taken)
	if _, had := c.seen[key]; had {
		return false
	}
	c.seen[key] = struct{}{}
	for i, one := range c.calls {
		if c.placed[i] || one.sent > latest {
			continue
		}
		next, takes, fits := one.apply(now, taken)
		if !fits {
			continue
		}
		c.placed[i] = true
		after := taken
		if takes {
			after = append(taken[:len(taken):len(taken)], one.order)
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
func (c *checker) key(now version, taken []version) string {
	bits := make([]byte, 0, len(c.calls)/8+32)
	var b byte
	for i, placed := range c.placed {
		b <<= 1
		if placed && c.calls[i].outcome != unknown {
			b |= 1
		}
		if i%8 == 7 {
			bits, b = append(bits, b), 0
		}
	}
	bits = append(bits, b)
	var all store.Digest
	for _, v := range taken {
		for i := range all {
			all[i] ^= v.digest[i]
		}
	}
	return string(bits) + string(now.digest[:]) + string(all[:]) + fmt.Sprint(now.revision)
}

// apply reports whether a call can have had its answer with current as the current version, and returns the next one.
func (one *call) apply(now version, taken []version) (next version, takes, fits bool) {
	if one.kind == readCall {
		return now, false, one.read == now
	}
	had := false
	for _, v := range taken {
		had = had || v == one.order
	}
	possible := one.valid && one.base == now.revision && one.order.revision > now.revision
	switch one.outcome {
	case accept, unknown:
		if had {
			return now, false, one.outcome == accept
		}
		return one.order, true, possible
	case conflict:
		return now, false, !had && one.base != now.revision
	default:
		return now, false, !had && (!one.valid || one.base == now.revision && one.order.revision <= now.revision)
	}
}

func orderOf(base, revision int64, body string) version {
	return version{revision, store.DigestOf(base, []byte(body))}
}

func TestCheckerTellsHistories(t *testing.T) {
	a, b := orderOf(0, 3, "a"), orderOf(0, 3, "b")
	after := orderOf(3, 5, "c")
	replace := func(base int64, v version, sent, done int, o outcome) call {
		return call{kind: replaceCall, base: base, order: v, valid: true, sent: time.Duration(sent), done: time.Duration(done), outcome: o}
	}
	read := func(v version, sent, done int) call {
		return call{kind: readCall, sent: time.Duration(sent), done: time.Duration(done), outcome: accept, read: v}
	}
	lost := func(base int64, v version, sent int) call {
		c := replace(base, v, sent, 0, unknown)
		c.done = endless
		return c
	}
	for name, one := range map[string]struct {
		calls []call
		ok    bool
	}{
		"sequential":                          {[]call{replace(0, a, 1, 2, accept), replace(3, after, 3, 4, accept), read(after, 5, 6)}, true},
		"repeated":                            {[]call{replace(0, a, 1, 2, accept), replace(0, a, 3, 4, accept), read(a, 5, 6)}, true},
		"repeated after others":               {[]call{replace(0, a, 1, 2, accept), replace(3, after, 3, 4, accept), replace(0, a, 5, 6, accept), read(after, 7, 8)}, true},
		"two accepted on one version":         {[]call{replace(0, a, 1, 5, accept), replace(0, b, 1, 5, accept)}, false},
		"one of two accepted on one version":  {[]call{replace(0, a, 1, 5, accept), replace(0, b, 1, 5, conflict), read(a, 6, 7)}, true},
		"the rejected one is read":            {[]call{replace(0, a, 1, 5, accept), replace(0, b, 1, 5, conflict), read(b, 6, 7)}, false},
		"rejected after it was accepted":      {[]call{replace(0, a, 1, 2, accept), replace(0, a, 3, 4, conflict)}, false},
		"no answer, then rejected":            {[]call{lost(0, a, 1), replace(0, b, 2, 3, accept), replace(0, a, 4, 5, conflict)}, true},
		"no answer, took effect":              {[]call{lost(0, a, 1), read(a, 5, 6)}, true},
		"no answer, no effect":                {[]call{lost(0, a, 1), read(version{}, 5, 6)}, true},
		"no answer, took effect after a read": {[]call{lost(0, a, 1), read(version{}, 2, 3), read(a, 5, 6)}, true},
		"no answer, took effect, then lost":   {[]call{lost(0, a, 1), read(a, 2, 3), read(version{}, 5, 6)}, false},
		"an old version is read":              {[]call{replace(0, a, 1, 2, accept), replace(3, after, 3, 4, accept), read(a, 5, 6)}, false},
		"an old version is read concurrently": {[]call{replace(0, a, 1, 2, accept), replace(3, after, 3, 6, accept), read(a, 4, 5)}, true},
		"acknowledged and lost":               {[]call{replace(0, a, 1, 2, accept), read(version{}, 3, 4)}, false},
	} {
		ok, err := linearizable(one.calls)
		assert.NilError(t, err)
		assert.Equal(t, ok, one.ok, name)
	}
}
