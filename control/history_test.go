package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/control/store"
)

// callKind is what an operator's call asks for.
type callKind int

const (
	replaceCall callKind = iota
	readCall
)

// outcome is what the operator learned of a call.
type outcome int

const (
	unknown  outcome = iota // no answer, a 5xx: it may have had its effect, or have it later
	accept                  // 200
	conflict                // 412: another version was current, and the order had not been taken
	invalid                 // 400: the order can't be taken on the version that is current
	nothing                 // a redirect, or a refusal for want of room: no effect
)

// version is one configuration that may be in force; the zero version is the one before the first.
type version struct {
	revision int64
	digest   store.Digest // of the order that made it
}

// call is one HTTP call of an operator, from its sending to its answer.
type call struct {
	kind    callKind
	base    int64
	order   version // of a replacement
	valid   bool
	sent    time.Duration
	done    time.Duration // when the answer came; endless for none
	outcome outcome
	read    version // of a read
}

const endless = time.Duration(1<<63 - 1)

// checker searches for an order of the calls, each between its sending and its answer, that one register with
// compare-and-swap could have answered in (Wing and Gong 1993, with the memory of Lowe 2017). Calls without a clear
// answer may have their effect at any time after they were sent, or never.
type checker struct {
	calls  []call
	placed []bool
	seen   map[string]struct{}
	steps  int
}

const mostSteps = 5_000_000

// linearizable says whether such an order exists.
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
		return false, fmt.Errorf("no verdict after %d steps for %d calls", c.steps, len(c.calls))
	}
	return ok, nil
}

// search places one more call, given the version in force and the orders taken so far.
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

// key names a point of the search: which calls with an answer are placed, which orders are taken, and what is in force.
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

// apply says whether a call can have its answer with a version in force, and what is in force then.
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
		"one after the other":                  {[]call{replace(0, a, 1, 2, accept), replace(3, after, 3, 4, accept), read(after, 5, 6)}, true},
		"sent again":                           {[]call{replace(0, a, 1, 2, accept), replace(0, a, 3, 4, accept), read(a, 5, 6)}, true},
		"sent again after others":              {[]call{replace(0, a, 1, 2, accept), replace(3, after, 3, 4, accept), replace(0, a, 5, 6, accept), read(after, 7, 8)}, true},
		"two on one version":                   {[]call{replace(0, a, 1, 5, accept), replace(0, b, 1, 5, accept)}, false},
		"one of two on one version":            {[]call{replace(0, a, 1, 5, accept), replace(0, b, 1, 5, conflict), read(a, 6, 7)}, true},
		"the loser is read":                    {[]call{replace(0, a, 1, 5, accept), replace(0, b, 1, 5, conflict), read(b, 6, 7)}, false},
		"refused after it was taken":           {[]call{replace(0, a, 1, 2, accept), replace(0, a, 3, 4, conflict)}, false},
		"refused, and taken later":             {[]call{lost(0, a, 1), replace(0, b, 2, 3, accept), replace(0, a, 4, 5, conflict)}, true},
		"no answer, in force":                  {[]call{lost(0, a, 1), read(a, 5, 6)}, true},
		"no answer, not in force":              {[]call{lost(0, a, 1), read(version{}, 5, 6)}, true},
		"no answer, in force after a read":     {[]call{lost(0, a, 1), read(version{}, 2, 3), read(a, 5, 6)}, true},
		"no answer, in force, then gone":       {[]call{lost(0, a, 1), read(a, 2, 3), read(version{}, 5, 6)}, false},
		"an old version is read":               {[]call{replace(0, a, 1, 2, accept), replace(3, after, 3, 4, accept), read(a, 5, 6)}, false},
		"an old version is read beside an ack": {[]call{replace(0, a, 1, 2, accept), replace(3, after, 3, 6, accept), read(a, 4, 5)}, true},
		"acknowledged and lost":                {[]call{replace(0, a, 1, 2, accept), read(version{}, 3, 4)}, false},
	} {
		ok, err := linearizable(one.calls)
		assert.NilError(t, err)
		assert.Equal(t, ok, one.ok, name)
	}
}
