package lease

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/wire"
)

// TestStartsAreFarApart runs successions of holders, over kills of some or all members, lost disks, network cuts and
// late messages. Any two holders that are told within their first second that they follow a long tenure are at least
// the tenure span less that second and a lease duration apart.
func TestStartsAreFarApart(t *testing.T) {
	confirmedStarts := 0
	for seed := range uint64(120) {
		g := newGroup(seed, 3+2*int(seed%2))
		g.delayMessages = seed%4 > 1
		began := map[uint64]time.Duration{} // by term, when it was first held
		starts := map[uint64]bool{}
		last := -time.Minute
		for g.now < 60*time.Second {
			if g.random.IntN(1500) == 0 {
				for range 1 + g.random.IntN(4) {
					g.injectFault()
				}
				if g.random.IntN(3) == 0 {
					for i := range g.holders {
						g.kill(i, g.now+time.Duration(g.random.IntN(1500))*time.Millisecond)
					}
				}
			}
			for _, i := range g.step() {
				h := g.holders[i]
				if _, had := began[h.Term()]; !had {
					began[h.Term()] = g.now
				}
				if starts[h.Term()] || g.now > began[h.Term()]+startWithin || !h.FollowsLongTenure(g.hasQuorum) {
					continue
				}
				starts[h.Term()] = true
				apart := testLongTenure - startWithin - Duration
				assert.Assert(t, g.now-last >= apart, "seed %d at %v: a start %v after the one before", seed, g.now, g.now-last)
				last = g.now
				confirmedStarts++
			}
		}
	}
	assert.Assert(t, confirmedStarts > 60, "%d starts in all", confirmedStarts)
}

// TestStartAfterALongTenure loses a holder with a long tenure, with either the memory of the other members or only
// their disks left. The next holder must be told that it follows a long tenure, and the one after that must not.
func TestStartAfterALongTenure(t *testing.T) {
	for name, lose := range map[string]func(g *group, holder int){
		"one is killed": func(g *group, holder int) { g.kill(holder, g.now+time.Second) },
		"all are killed": func(g *group, _ int) {
			for i := range g.granters {
				kept := g.disks[i].kept
				g.kill(i, g.now+time.Second)
				g.granters[i] = NewGranter(testLongTenure, kept, g.now+time.Second)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGroup(3, 3)
			for g.now < 2*testLongTenure {
				g.step()
			}
			holder := g.step()[0]
			lose(g, holder)
			began := g.now
			holding := []int{}
			for len(holding) == 0 && g.now < began+5*time.Second {
				holding = g.step()
			}
			next := g.holders[holding[0]]
			won := g.now
			for !next.FollowsLongTenure(g.hasQuorum) && g.now < won+startWithin {
				g.step()
			}
			assert.Assert(t, g.now < won+startWithin, "it is told within the first second")
			g.kill(holding[0], g.now+100*time.Millisecond) // this holder is lost at once
			for holding = nil; len(holding) == 0; {
				holding = g.step()
			}
			for won = g.now; g.now < won+startWithin; g.step() {
				assert.Assert(t, !g.holders[holding[0]].FollowsLongTenure(g.hasQuorum), "the previous tenure was not long")
			}
		})
	}
}

// TestMemberConfirmsOnceItsDiskHasForgotten checks that one member confirms a long tenure only once the record of it
// is off its disk.
func TestMemberConfirmsOnceItsDiskHasForgotten(t *testing.T) {
	g := NewGranter(testLongTenure, []string{resource}, 0)
	ask := func(term uint64, now time.Duration) *wire.LeaseReply {
		return g.HandleRequest(&wire.LeaseRequest{Resource: resource, Holder: strconv.FormatUint(term, 10), Term: term}, now)
	}
	_, unsaved := g.UnsavedTenures()
	assert.Assert(t, !unsaved)
	now := Duration
	reply := ask(1, now)
	assert.Assert(t, reply.Granted && !reply.ConfirmsLongTenure)
	change, unsaved := g.UnsavedTenures()
	assert.Assert(t, unsaved && len(change.Resources) == 0)
	assert.Assert(t, !ask(1, now).ConfirmsLongTenure, "not while the record is still on its disk")
	g.TenuresSaved(change)
	assert.Assert(t, ask(1, now).ConfirmsLongTenure)
	assert.Assert(t, !ask(2, now).ConfirmsLongTenure, "another candidate, which is refused")
	now += 2 * Duration
	reply = ask(3, now)
	assert.Assert(t, reply.Granted && !reply.ConfirmsLongTenure, "the previous tenure was not long")
	for end := now + testLongTenure; now < end; now += RenewInterval {
		reply = ask(3, now)
		assert.Assert(t, reply.Granted && !reply.ConfirmsLongTenure)
	}
	ask(3, now)
	change, unsaved = g.UnsavedTenures()
	assert.Assert(t, unsaved)
	assert.DeepEqual(t, change.Resources, []string{resource})
	later := ask(4, now+2*Duration)
	assert.Assert(t, later.Granted && !later.ConfirmsLongTenure)
	g.TenuresSaved(change) // the older write doesn't cover the newer change
	assert.Assert(t, !ask(4, now+2*Duration).ConfirmsLongTenure)
	change, _ = g.UnsavedTenures()
	g.TenuresSaved(change)
	assert.Assert(t, ask(4, now+2*Duration).ConfirmsLongTenure)
}
