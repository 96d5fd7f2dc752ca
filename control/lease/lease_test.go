package lease

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/wire"
)

// group simulates members that request leases of each other over a network that delays, loses and cuts, on a virtual
// clock.
type group struct {
	random        *rand.Rand
	now           time.Duration
	granters      []*Granter
	holders       []*Holder
	down          []time.Duration // time until which each member is down
	messages      []message
	cut           [][]time.Duration
	owners        map[uint64]int
	delayMessages bool // messages may be delayed for long
	disks         []*tenureDisk
}

// tenureDisk is the disk for a granter's tenure record.
type tenureDisk struct {
	kept    []string
	writing *LongTenures
	doneAt  time.Duration
}

const (
	testLongTenure = 4 * time.Second // holding time that makes a tenure long
	// startWithin is the time from the first holding within which a holder may be told that it follows a long tenure.
	startWithin = time.Second
)

type message struct {
	due      time.Duration
	from, to int
	request  *wire.LeaseRequest
	reply    *wire.LeaseReply
}

const resource = "shard"

func newGroup(seed uint64, size int) *group {
	g := &group{random: rand.New(rand.NewPCG(seed, 3)), owners: map[uint64]int{}}
	for i := range size {
		g.granters = append(g.granters, NewGranter(testLongTenure, nil, 0))
		g.holders = append(g.holders, g.holder(i))
		g.disks = append(g.disks, &tenureDisk{})
		g.cut = append(g.cut, make([]time.Duration, size))
	}
	g.down = make([]time.Duration, size)
	return g
}

func (g *group) holder(i int) *Holder {
	h := NewHolder(resource, strconv.Itoa(i), g.random.Uint64(), g.now)
	h.SetRank(i)
	return h
}

func (g *group) hasQuorum(has func(string) bool) bool {
	n := 0
	for i := range g.granters {
		if has(strconv.Itoa(i)) {
			n++
		}
	}
	return 2*n > len(g.granters)
}

func (g *group) send(p message) {
	if p.from == p.to || g.cut[p.from][p.to] <= g.now && g.random.IntN(30) > 0 {
		p.due = g.now + time.Duration(g.random.IntN(15))*time.Millisecond
		if g.delayMessages && g.random.IntN(10) == 0 { // delayed beyond the end of the process that sent the request
			p.due += time.Duration(g.random.IntN(2000)) * time.Millisecond
		}
		if p.from == p.to {
			p.due = g.now
		}
		g.messages = append(g.messages, p)
	}
}

// writeDisks stores tenure records some milliseconds after they have changed.
func (g *group) writeDisks() {
	for i, d := range g.disks {
		if g.down[i] > g.now {
			continue
		}
		if d.writing != nil && g.now >= d.doneAt {
			d.kept = d.writing.Resources
			g.granters[i].TenuresSaved(*d.writing)
			d.writing = nil
		}
		if unsaved, ok := g.granters[i].UnsavedTenures(); ok && d.writing == nil {
			d.writing, d.doneAt = &unsaved, g.now+time.Duration(1+g.random.IntN(200))*time.Millisecond
		}
	}
}

func (g *group) step() (holding []int) {
	g.now += 5 * time.Millisecond
	g.writeDisks()
	for i, h := range g.holders {
		if g.down[i] > g.now {
			continue
		}
		if q := h.Tick(g.granters[i].HeldByOther(resource, strconv.Itoa(i), g.now), g.now); q != nil {
			for to := range g.granters {
				g.send(message{from: i, to: to, request: q})
			}
		}
	}
	for n := 0; n < len(g.messages); n++ {
		p := g.messages[n]
		if p.due > g.now {
			continue
		}
		g.messages[n] = g.messages[len(g.messages)-1]
		g.messages = g.messages[:len(g.messages)-1]
		n--
		if g.down[p.to] > g.now {
			continue
		}
		if p.request != nil {
			g.send(message{from: p.to, to: p.from, reply: g.granters[p.to].HandleRequest(p.request, g.now)})
		} else {
			g.holders[p.to].HandleReply(strconv.Itoa(p.from), p.reply, g.hasQuorum, g.now)
		}
	}
	for i, h := range g.holders {
		if g.down[i] <= g.now && h.Holds(g.now) {
			holding = append(holding, i)
		}
	}
	return holding
}

func (g *group) kill(i int, restartAt time.Duration) {
	d := g.disks[i]
	if d.writing != nil && g.random.IntN(2) == 0 {
		d.kept = d.writing.Resources
	}
	d.writing = nil
	if g.random.IntN(5) == 0 {
		d.kept = nil // a lost disk
	}
	g.down[i] = restartAt
	g.granters[i] = NewGranter(testLongTenure, d.kept, restartAt)
	g.holders[i] = g.holder(i)
}

func (g *group) injectFault() {
	i, j := g.random.IntN(len(g.holders)), g.random.IntN(len(g.holders))
	ends := g.now + time.Duration(g.random.IntN(2500))*time.Millisecond
	switch g.random.IntN(3) {
	case 0: // killed: it forgets everything that is not on its disk
		g.kill(i, ends)
	case 1:
		g.cut[i][j] = ends
	case 2:
		for other := range g.holders {
			g.cut[i][other], g.cut[other][i] = ends, ends
		}
	}
}

func TestOneHolderAtATime(t *testing.T) {
	for seed := range uint64(400) {
		g := newGroup(seed, 3+2*int(seed%2))
		g.delayMessages = seed%4 > 1
		held := 0
		for g.now < 20*time.Second {
			if g.now < 14*time.Second && g.random.IntN(150) == 0 {
				g.injectFault()
			}
			holding := g.step()
			assert.Assert(t, len(holding) <= 1, "seed %d at %v: %v hold it", seed, g.now, holding)
			for _, i := range holding {
				term := g.holders[i].Term()
				owner, had := g.owners[term]
				assert.Assert(t, !had || owner == i, "seed %d: %d and %d had term %d", seed, owner, i, term)
				g.owners[term] = i
				held++
			}
		}
		assert.Assert(t, held > 1000, "seed %d: held for only %d steps", seed, held)
	}
}

func TestTermIsStableWithoutFaults(t *testing.T) {
	g := newGroup(1, 3)
	for g.now < 3*time.Second {
		g.step()
	}
	holding := g.step()
	assert.Equal(t, len(holding), 1)
	term := g.holders[holding[0]].Term()
	for g.now < 10*time.Second {
		assert.Equal(t, len(g.step()), 1)
	}
	assert.Equal(t, g.holders[holding[0]].Term(), term)
}

func TestRaisedFloorRaisesTheTerm(t *testing.T) {
	g := newGroup(1, 3)
	for g.now < 3*time.Second {
		g.step()
	}
	h := g.holders[g.step()[0]]
	h.RaiseTermFloor(100 << saltBits)
	for g.now < 4*time.Second {
		assert.Equal(t, len(g.step()), 1, "it stays held while the term rises")
	}
	assert.Assert(t, h.Term() > 100<<saltBits)
}

// A process that has just started numbers its rounds from one again: what was granted to its earlier incarnation
// doesn't count for it.
func TestGrantToAnEarlierIncarnationDoesNotCount(t *testing.T) {
	all := func(has func(string) bool) bool { return has("a") && has("b") }
	earlier := NewHolder(resource, "a", 0x10001, 0)
	asked := earlier.Tick(false, 0)
	delayed := &wire.LeaseReply{Resource: resource, Granted: true, Term: asked.Term, Round: asked.Round, Incarnation: asked.Incarnation}
	// Even an incarnation that happens to draw the same fencing number only counts replies to its own requests.
	holder := NewHolder(resource, "a", 0x20001, time.Second)
	again := holder.Tick(false, time.Second)
	assert.Equal(t, again.Round, asked.Round)
	assert.Equal(t, again.Term, asked.Term)
	for _, from := range []string{"a", "b"} {
		assert.Assert(t, !holder.HandleReply(from, delayed, all, time.Second))
	}
	assert.Assert(t, !holder.Holds(time.Second))
	own := &wire.LeaseReply{Resource: resource, Granted: true, Term: again.Term, Round: again.Round, Incarnation: again.Incarnation}
	for _, from := range []string{"a", "b"} {
		assert.Assert(t, holder.HandleReply(from, own, all, time.Second))
	}
	assert.Assert(t, holder.Holds(time.Second))
}

// A reply that arrives after the lease has lapsed doesn't revive it under the same fencing number.
func TestLapsedLeaseIsNotRevived(t *testing.T) {
	all := func(has func(string) bool) bool { return has("a") && has("b") }
	h := NewHolder(resource, "a", 7, 0)
	answer := func(q *wire.LeaseRequest, now time.Duration) {
		for _, from := range []string{"a", "b"} {
			h.HandleReply(from, &wire.LeaseReply{Resource: resource, Granted: true, Term: q.Term, Round: q.Round, Incarnation: q.Incarnation}, all, now)
		}
	}
	first := h.Tick(false, 0)
	answer(first, 0)
	assert.Assert(t, h.Holds(0))
	renewal := h.Tick(false, Duration-Margin-time.Millisecond)
	answer(renewal, Duration-Margin+time.Millisecond)
	assert.Assert(t, !h.Holds(Duration-Margin+time.Millisecond))
	again := h.Tick(false, 2*Duration)
	assert.Assert(t, again != nil && again.Term > first.Term)
}

// A reply to a renewal that was in flight when the lease was released doesn't revive it.
func TestReleasedLeaseIsNotRevived(t *testing.T) {
	all := func(has func(string) bool) bool { return has("a") && has("b") }
	h := NewHolder(resource, "a", 7, 0)
	answer := func(q *wire.LeaseRequest, now time.Duration) {
		for _, from := range []string{"a", "b"} {
			h.HandleReply(from, &wire.LeaseReply{Resource: resource, Granted: true, Term: q.Term, Round: q.Round, Incarnation: q.Incarnation}, all, now)
		}
	}
	answer(h.Tick(false, 0), 0)
	renewal := h.Tick(false, RenewInterval)
	assert.Assert(t, h.Release(RenewInterval) != nil)
	answer(renewal, RenewInterval+time.Millisecond)
	assert.Assert(t, !h.Holds(RenewInterval+time.Millisecond))
}
