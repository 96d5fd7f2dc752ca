package emu

// This file owns what passes between balancers in virtual time: datagrams that take their time, get lost, come twice or overtake one
// another, partitions, and members that are killed, stopped or starved. It must never decide anything.

import (
	"slices"

	"ivybank/fleet"
	"ivybank/fleet/peer"
	"ivybank/fleet/swim"
	"ivybank/internal/rng"
)

// Rough is what befalls datagrams; parts of them. All wait so long, and by chance up to Spread more.
type Impairment struct {
	LossRatio, DuplicateRatio, CorruptRatio float64
	Delay, Jitter                           int64
}

// Add has what befalls datagrams in one way befall them in another as well.
func (r *Impairment) Add(x Impairment) {
	r.LossRatio, r.DuplicateRatio, r.CorruptRatio = r.LossRatio+x.LossRatio, r.DuplicateRatio+x.DuplicateRatio, r.CorruptRatio+x.CorruptRatio
	r.Delay, r.Jitter = r.Delay+x.Delay, r.Jitter+x.Jitter
}

// split is a partition in force: who is on one side, and which way nothing passes.
type partition struct {
	inside    map[int]bool
	direction string
}

// seat of one member.
type member struct {
	*fleet.Fleet
	starts        uint64 // counts starts: what was due for an earlier process is not done
	dead          bool
	pauses        int
	queued        []peer.Datagram // came while it was stopped; emptied when it goes on
	tickSeq       uint64          // the tick that counts
	config        fleet.Config
	sentDatagrams int
	sentBytes     int
}

// Peers are the members of one run.
type Peers struct {
	clock       *VirtualClock
	random      rng.Source
	members     []*member
	partitions  []*partition  // emptied as they end
	impairments []*Impairment // emptied as they end; they add up
	handle      func(member int, a fleet.Action)
	countBytes  bool // bytes are counted: each datagram is put into its form
}

// NewPeers starts a member for each of the terms. What the members want other than sending is handed to act.
func NewPeers(c *VirtualClock, terms []fleet.Config, seed uint64, measure bool, act func(member int, a fleet.Action)) *Peers {
	p := &Peers{clock: c, random: rng.Source{Seed: seed ^ 0x9ee5}, handle: act, countBytes: measure}
	for i, t := range terms {
		p.members = append(p.members, &member{config: t, dead: true})
		p.Start(i)
	}
	return p
}

// Fleet is a member's part.
func (p *Peers) Fleet(i int) *fleet.Fleet { return p.members[i].Fleet }

// Up says whether a member's process lives and runs.
func (p *Peers) Running(i int) bool { return !p.members[i].dead && p.members[i].pauses == 0 }

// Sent is how many datagrams a member has sent, and their bytes where these are counted.
func (p *Peers) SentTotals(i int) (datagrams, bytes int) {
	return p.members[i].sentDatagrams, p.members[i].sentBytes
}

// Start begins a process at a member's place.
func (p *Peers) Start(i int) {
	m := p.members[i]
	m.starts++
	m.dead, m.queued = false, nil
	t := m.config
	t.Seed = BalancerSeed(t.Seed+m.starts<<32, i)
	if t.Incarnation == 0 {
		t.Incarnation = swim.IncarnationAt(p.clock.Now())
	}
	m.Fleet = fleet.New(t, p.clock.Now())
	p.tick(i, m.starts)
}

// Kill ends a member's process.
func (p *Peers) Kill(i int) { p.members[i].dead, p.members[i].queued = true, nil }

// Stop stops a member's process, or lets it go on once nothing stops it.
func (p *Peers) SetPaused(i int, stop bool) {
	m := p.members[i]
	if stop {
		m.pauses++
		return
	}
	if m.pauses--; m.pauses > 0 || m.dead {
		return
	}
	// What came meanwhile is read first, then what is due is done, as the proxy does.
	waiting := m.queued
	m.queued = nil
	for _, d := range waiting {
		m.Receive(&d, p.clock.Now())
	}
	p.tick(i, m.starts)
}

// Back sets a member's clock of the day for its next start.
func (p *Peers) SetIncarnation(i int, life uint64) { p.members[i].config.Incarnation = life }

func (p *Peers) tick(i int, life uint64) {
	m := p.members[i]
	if m.starts != life || !p.Running(i) {
		return
	}
	m.tickSeq++
	mine := m.tickSeq
	next := m.Tick(p.clock.Now())
	p.RunActions(i)
	p.clock.At(next, func() {
		if m.tickSeq == mine {
			p.tick(i, life)
		}
	})
}

// Carry carries out what a member wants.
func (p *Peers) RunActions(i int) {
	m := p.members[i]
	for a, ok := m.Next(); ok; a, ok = m.Next() {
		if a.Kind == fleet.Send {
			p.send(i, a.To, a.Datagram)
		} else if p.handle != nil {
			p.handle(i, a)
		}
	}
}

// passes says whether anything passes from one member to another.
func (p *Peers) connected(i, j int) bool {
	for _, s := range p.partitions {
		if s.inside[i] && !s.inside[j] && s.direction != "in" || !s.inside[i] && s.inside[j] && s.direction != "out" {
			return false
		}
	}
	return true
}

func (p *Peers) send(i, j int, d peer.Datagram) {
	m := p.members[i]
	m.sentDatagrams++
	if p.countBytes {
		b, err := peer.Encode(0, &d)
		if err != nil {
			panic(err) // the parts were to fit
		}
		m.sentBytes += len(b)
	}
	var all Impairment
	for _, r := range p.impairments {
		all.Add(*r)
	}
	if !p.connected(i, j) || p.random.Next() < all.LossRatio+all.CorruptRatio { // a garbled one is dropped whole
		return
	}
	copies := 1
	if all.DuplicateRatio > 0 && p.random.Next() < all.DuplicateRatio {
		copies = 2
	}
	for range copies {
		p.clock.At(p.clock.Now()+1e5+all.Delay+int64(p.random.Next()*float64(all.Jitter)), func() { p.deliver(j, d) })
	}
}

func (p *Peers) deliver(j int, d peer.Datagram) {
	m := p.members[j]
	switch {
	case m.dead:
	case m.pauses > 0:
		const socket = 200 // datagrams that a socket keeps
		if len(m.queued) < socket {
			m.queued = append(m.queued, d)
		}
	default:
		m.Receive(&d, p.clock.Now())
		p.RunActions(j)
	}
}

// Strike does what befalls members; a fault of another kind does nothing.
func (p *Peers) Inject(x Fault) (undo func()) {
	hit := x.Proxies
	if len(hit) == 0 && x.Count > 0 {
		hit = Sample(&p.random, len(p.members), x.Count)
	}
	each := func(do func(i int)) {
		for _, i := range hit {
			do(i)
		}
	}
	switch x.Kind {
	case "proxy_kill":
		each(func(i int) {
			p.Kill(i)
			if x.Duration > 0 {
				p.clock.At(p.clock.Now()+x.Duration+int64(p.random.Next()*float64(x.Jitter)), func() { p.Start(i) })
			}
		})
	case "proxy_end":
		each(func(i int) {
			p.members[i].Leave()
			p.RunActions(i)
			p.Kill(i)
		})
	case "proxy_pause":
		each(func(i int) { p.SetPaused(i, true) })
		return func() { each(func(i int) { p.SetPaused(i, false) }) }
	case "proxy_starve":
		over := false
		each(func(i int) { p.starve(i, x.Magnitude, &over) })
		return func() { over = true }
	case "split":
		s := &partition{inside: map[int]bool{}, direction: x.Direction}
		each(func(i int) { s.inside[i] = true })
		p.partitions = append(p.partitions, s)
		return func() { p.partitions = slices.DeleteFunc(p.partitions, func(y *partition) bool { return y == s }) }
	case "datagrams":
		r := &Impairment{x.LossRatio, x.DuplicateRatio, x.CorruptRatio, x.Delay, x.Jitter}
		p.impairments = append(p.impairments, r)
		return func() { p.impairments = slices.DeleteFunc(p.impairments, func(y *Impairment) bool { return y == r }) }
	}
	return func() {}
}

// starve stops a member for a part of each piece of time.
func (p *Peers) starve(i int, part float64, over *bool) {
	const piece = 1e8
	if *over {
		return
	}
	p.SetPaused(i, true)
	p.clock.At(p.clock.Now()+int64(part*piece), func() { p.SetPaused(i, false) })
	p.clock.At(p.clock.Now()+piece, func() { p.starve(i, part, over) })
}
