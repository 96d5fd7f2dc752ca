package lease

import (
	"cmp"
	"fmt"
	"hash/maphash"
	"slices"
	"strconv"
	"testing"

	"ivybank/internal/rng"
)

// Exhaustive search of the states of a fleet of three with one strict limit, in steps of 200 ms. In any step one member
// may be killed, or stopped before the step, after sending and before receiving, or after receiving and before sending,
// and return in any later step; and one member may be cut off, in both directions or one. Reqs of a killed member go on
// running at the servers. The states are those of the members themselves; times, terms and sequence numbers are taken
// relative to the present, so that states that differ only in age are one.

const (
	graphStep    = 200 * ms
	graphMembers = 3
)

var graphLimit = Limit{Name: "one", Kind: InFlight, Units: 6, LeaseDuration: 1200 * ms,
	MaxRequestDuration: 600 * ms, Strict: true}

// Values of graphState.cut: 0 for none; otherwise member (cut-1)/3 is cut off, by (cut-1)%3 in both directions, from
// sending or from receiving.
const cutKinds = 3 * graphMembers

type message struct {
	from, to int
	d        Datagram
}

// graphState is one state of the fleet.
type graphState struct {
	procs         [graphMembers]*process // nil: killed
	incarnations  [graphMembers]uint64
	now           int64
	faulty        int // member that is killed or stopped now; -1: none
	stopped       bool
	midway        int // where in the step it stops: 0 at its start, 1 after sending, 2 after receiving
	orphaned      int // running reqs of a killed member, until orphanedUntil
	orphanedUntil int64
	queued        []message // for the stopped member
	cut           int
	faultsLeft    int // faults that may still occur
	cutsLeft      int
}

func (p *process) clone() *process {
	if p == nil {
		return nil
	}
	m := p.Member
	n := &Member{cfg: m.cfg, lastClock: m.lastClock, elapsed: m.elapsed, random: m.random, Drops: m.Drops,
		outbox: slices.Clone(m.outbox)}
	for _, l := range m.limits {
		c := &limitState{Limit: l.Limit, id: l.id, rank: l.rank, vote: l.vote, candidacy: l.candidacy, holder: l.holder}
		c.candidacy.promisedAt = slices.Clone(l.candidacy.promisedAt)
		if l.ownership != nil {
			o := *l.ownership
			o.members, o.shares = slices.Clone(o.members), slices.Clone(o.shares)
			for i := range o.members {
				o.members[i].previous = slices.Clone(o.members[i].previous)
			}
			c.ownership = &o
		}
		x := newLocalLimit(&l.Limit)
		x.validUntil.Store(l.holder.local.validUntil.Load())
		x.units.Store(l.holder.local.units.Load())
		c.holder.local = x
		n.limits = append(n.limits, c)
	}
	n.publishLimiter(m.lastClock)
	n.lastTick.Store(m.lastTick.Load())
	return &process{Member: n, flaw: p.flaw}
}

func (g *graphState) clone() *graphState {
	n := *g
	for i, p := range g.procs {
		n.procs[i] = p.clone()
	}
	n.queued = slices.Clone(g.queued)
	return &n
}

func (g *graphState) start(i int, f flaw) {
	g.incarnations[i]++
	t := Config{Index: i, Members: graphMembers, Voters: graphMembers, Incarnation: g.incarnations[i], DriftPPM: 100,
		Limits: []Limit{graphLimit}}
	g.procs[i] = &process{Member: New(t, g.now), flaw: f}
}

func (g *graphState) connected(from, to int) bool {
	if g.cut == 0 {
		return true
	}
	who, way := (g.cut-1)/3, (g.cut-1)%3
	return !(from == who && way != 2) && !(to == who && way != 1)
}

// step advances the time by graphStep.
func (g *graphState) step() {
	g.now += graphStep
	var inFlight []message
	send := func(i int) {
		for p := g.procs[i]; ; {
			to, d, ok := p.Member.NextDatagram()
			if !ok {
				return
			}
			inFlight = append(inFlight, message{i, to, d})
		}
	}
	receive := func(l message) {
		l.d.Items = slices.Clone(l.d.Items)
		g.procs[l.to].receive(l.from, &l.d, g.now)
		if !(g.stopped && g.faulty == l.to && g.midway == 2) {
			send(l.to)
		}
	}
	for _, l := range g.queued {
		if !g.stopped && g.procs[l.to] != nil {
			receive(l)
		}
	}
	if !g.stopped {
		g.queued = nil
	}
	for i, p := range g.procs {
		if p == nil || g.stopped && g.faulty == i && g.midway == 0 {
			continue
		}
		h := &p.limits[0].holder
		h.local.denied.Store(1) // the demand always exceeds the lease
		p.Tick(g.now)
		h.want = graphLimit.Units
		if !(g.stopped && g.faulty == i && g.midway == 2) {
			send(i)
		}
	}
	for n := 0; n < len(inFlight); n++ {
		l := inFlight[n]
		switch {
		case g.procs[l.to] == nil || !g.connected(l.from, l.to):
		case g.stopped && g.faulty == l.to && g.midway != 2:
			if len(g.queued) < 6 { // keeps the first six, which are the oldest when it wakes
				g.queued = append(g.queued, l)
			}
		default:
			receive(l)
		}
	}
	g.midway = 0
	for _, p := range g.procs {
		if p != nil {
			p.random, p.Drops = rng.Source{}, DropCounts{} // random draws are the same in each step
		}
	}
}

// totalInUse returns how many units may be in use.
func (g *graphState) totalInUse() (n int) {
	if g.now < g.orphanedUntil {
		n = g.orphaned
	}
	for _, p := range g.procs {
		if p != nil {
			if x := p.limits[0].holder.local; g.now < x.validUntil.Load() && g.now-p.lastTick.Load() <= maxTickAge {
				n += int(x.units.Load())
			}
		}
	}
	return n
}

// next returns all successor states.
func (g *graphState) next(f flaw) (all []*graphState) {
	addSuccessor := func(change func(n *graphState)) {
		n := g.clone()
		change(n)
		n.step()
		all = append(all, n)
	}
	addSuccessor(func(*graphState) {})
	if g.faulty >= 0 {
		addSuccessor(func(n *graphState) {
			if !n.stopped {
				n.start(n.faulty, f)
			}
			n.faulty, n.stopped = -1, false
		})
	}
	for i := range graphMembers {
		if g.faultsLeft > 0 && g.faulty < 0 {
			addSuccessor(func(n *graphState) {
				if l := n.procs[i].limits[0]; n.now < l.holder.expires {
					n.orphaned, n.orphanedUntil = l.holder.units, n.now+graphLimit.MaxRequestDuration
				}
				n.faultsLeft--
				n.faulty, n.procs[i] = i, nil
			})
			for midway := range 3 {
				addSuccessor(func(n *graphState) { n.faultsLeft--; n.faulty, n.stopped, n.midway = i, true, midway })
			}
		}
	}
	if g.cut > 0 {
		addSuccessor(func(n *graphState) { n.cut = 0 })
	}
	for c := range cutKinds {
		if g.cutsLeft > 0 {
			addSuccessor(func(n *graphState) { n.cutsLeft--; n.cut = c + 1 })
		}
	}
	return all
}

// undelivered returns the messages that have not arrived.
func (g *graphState) undelivered() []message {
	all := slices.Clone(g.queued)
	for i, p := range g.procs {
		if p != nil {
			for _, x := range p.outbox {
				all = append(all, message{i, x.to, Datagram{Incarnation: p.cfg.Incarnation, Items: []Item{x.Item}}})
			}
		}
	}
	return all
}

// key hashes a state without what differs by age alone.
func (g *graphState) key(seed maphash.Seed) uint64 {
	least := ^uint64(0)
	lowerTo := func(t uint64) {
		if t > 0 {
			least = min(least, t>>6)
		}
	}
	for _, p := range g.procs {
		if p != nil {
			l := p.limits[0]
			lowerTo(l.vote.highestTerm)
			lowerTo(l.vote.term)
			lowerTo(max(l.vote.highestTerm, l.candidacy.highestTerm))
			lowerTo(l.holder.term)
			if l.candidacy.active {
				lowerTo(l.candidacy.term)
			}
		}
	}
	for _, w := range g.undelivered() {
		for _, it := range w.d.Items {
			lowerTo(it.Term)
		}
	}
	term := func(t uint64) uint64 {
		if t == 0 {
			return 0
		}
		return t - least<<6 + 64
	}
	var b []byte
	put := func(all ...int64) {
		for _, x := range all {
			b = strconv.AppendInt(append(b, ' '), x, 36)
		}
	}
	bit := func(x bool) int64 {
		if x {
			return 1
		}
		return 0
	}
	put(int64(g.faulty), bit(g.stopped), int64(g.cut), int64(g.faultsLeft), int64(g.cutsLeft))
	if g.now < g.orphanedUntil {
		put(int64(g.orphaned), g.orphanedUntil-g.now)
	}
	relative := func(at, now, most int64) int64 { return max(at-now, -most) }
	// Of the sequence numbers of lease requests only the order matters: later ones are greater than all.
	var counts [graphMembers][]uint64
	for i, p := range g.procs {
		for _, q := range g.procs {
			if q != nil && q.limits[0].ownership != nil {
				counts[i] = append(counts[i], q.limits[0].ownership.members[i].seq)
			}
		}
		if p != nil {
			counts[i] = append(counts[i], p.limits[0].holder.requestSeq)
		}
	}
	for _, w := range g.undelivered() {
		for _, it := range w.d.Items {
			switch it.Kind {
			case LeaseRequest:
				counts[w.from] = append(counts[w.from], it.Seq)
			case LeaseGrant:
				counts[w.to] = append(counts[w.to], it.Seq)
			}
		}
	}
	for i := range counts {
		slices.Sort(counts[i])
		counts[i] = slices.Compact(counts[i])
	}
	rank := func(i int, count uint64) int64 { return int64(slices.Index(counts[i], count)) }
	for i, p := range g.procs {
		put(int64(g.incarnations[i]))
		if p == nil {
			put(-1)
			continue
		}
		l, s := p.limits[0], p.elapsed
		v, d, h := &l.vote, &l.candidacy, &l.holder
		full := p.worstCaseDuration(l.LeaseDuration) + p.maxOverrun(l)
		put(relative(p.lastClock, g.now, full), relative(v.silentUntil, s, 0), int64(term(v.highestTerm)),
			relative(v.expires, s, 0), min(s, full+1))
		if s < v.expires {
			put(int64(v.candidate), int64(v.candidateIncarnation), int64(term(v.term)))
		}
		put(bit(d.active), int64(term(max(v.highestTerm, d.highestTerm))), relative(d.nextAt, s, 0))
		if d.active {
			put(int64(term(d.term)), min(int64(d.round), 1))
			if d.round == 0 {
				put(int64(d.prevotes))
			}
			if l.ownership == nil {
				put(relative(d.startedAt, s, candidacyTimeout+1))
			}
			for _, at := range d.promisedAt {
				put(relative(at, g.now, full))
			}
			put(relative(d.sentAt, g.now, full))
		}
		if o := l.ownership; o != nil {
			put(int64(term(o.term)), relative(o.readyAt, s, 0), int64(o.announced))
			if s < o.readyAt {
				put(int64(o.reportedUnits), int64(o.reportedMembers))
			}
			for j := range o.members {
				x := &o.members[j]
				put(int64(x.incarnation), rank(j, x.seq), bit(x.reported), relative(x.heardAt, s, full+1),
					relative(x.expires, s, 0))
				if s < x.expires {
					put(int64(x.units))
				}
				for _, gh := range x.previous {
					if s < gh.expires {
						put(int64(gh.units), relative(gh.expires, s, 0))
					}
				}
			}
		}
		put(int64(h.owner), int64(term(h.term)), int64(h.epoch), bit(h.pending), int64(min(h.unanswered, maxUnanswered)),
			relative(h.sentAtElapsed, s, l.LeaseDuration), bit(h.renewNow), relative(h.expires, g.now, 0), bit(h.timeSkipped),
			rank(i, h.requestSeq))
		if h.pending {
			put(relative(h.sentAt, g.now, full))
		}
		if g.now < h.expires {
			put(int64(h.units))
		}
		if h.owner < 0 || h.unanswered > 0 {
			put(int64(h.requestSeq % graphMembers))
		}
	}
	roundKey := func(who int, it Item) int64 { // a round of a candidacy: 0 pre-vote, 2 the latest, 1 an older one
		if p := g.procs[who]; it.Seq > 0 && p != nil && p.limits[0].candidacy.round == it.Seq {
			return 2
		}
		return min(int64(it.Seq), 1)
	}
	for _, w := range g.undelivered() {
		put(int64(w.from), int64(w.to), int64(w.d.Incarnation))
		for _, it := range w.d.Items {
			var count int64
			switch it.Kind {
			case LeaseRequest:
				count = rank(w.from, it.Seq)
			case LeaseGrant:
				count = rank(w.to, it.Seq)
			case VoteRequest:
				count = roundKey(w.from, it)
			case Vote:
				count = roundKey(w.to, it)
			}
			put(int64(it.Kind), int64(term(it.Term)), int64(it.Epoch), count, int64(it.Want), int64(it.Units),
				bit(it.Settled))
		}
	}
	return maphash.Bytes(seed, b)
}

// walk searches the states breadth-first. It returns their number, and the first violation of the limit.
func walk(f flaw, hurts, cuts, most int) (states int, over string) {
	seed := maphash.MakeSeed()
	g := &graphState{now: sec, faulty: -1, faultsLeft: hurts, cutsLeft: cuts}
	for i := range graphMembers {
		g.start(i, f)
	}
	for range 60 { // without faults, until a lease is granted
		g.step()
	}
	seen := map[uint64]bool{g.key(seed): true}
	for todo := []*graphState{g}; len(todo) > 0; {
		g, todo = todo[0], todo[1:]
		for _, n := range g.next(f) {
			if sum := n.totalInUse(); sum > graphLimit.Units {
				return len(seen), fmt.Sprintf("%d units usable, want at most %d", sum, graphLimit.Units)
			}
			if k := n.key(seed); !seen[k] {
				seen[k] = true
				todo = append(todo, n)
			}
		}
		if len(seen) > most {
			return len(seen), ""
		}
	}
	return len(seen), ""
}

// No state of the whole graph exceeds the limit, and each faulty variant is found in it.
func TestGraph(t *testing.T) {
	for f, name := range map[flaw]string{flawNone: "sound", flawUnfenced: "no fencing",
		flawLeaseFromReceipt: "lease counted from receipt", flawForgetsEarlierLeases: "fresh allowance on restart"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states, over := walk(f, 1, 1, 1<<20)
			t.Logf("%d states: %s", states, cmp.Or(over, "whole graph, no violation"))
			if states > 1<<20 || (over == "") != (f == flawNone) {
				t.Errorf("%s", cmp.Or(over, "search not complete, or faulty variant not found"))
			}
		})
	}
}
