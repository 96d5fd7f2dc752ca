package emu

// This file holds the network between balancers in virtual time: datagrams that are delayed, lost, duplicated or
// reordered, partitions, and members that are killed, paused or starved. It never makes a decision of a member.

import (
	"slices"

	"ivybank/fleet"
	"ivybank/fleet/peer"
	"ivybank/fleet/swim"
	"ivybank/internal/rng"
)

// Impairment is how the network treats datagrams: the fractions that are lost, duplicated and corrupted, and the delay of
// each, with up to Jitter added at random, in nanoseconds.
type Impairment struct {
	LossRatio, DuplicateRatio, CorruptRatio float64
	Delay, Jitter                           int64
}

// Add adds another impairment to r.
func (r *Impairment) Add(x Impairment) {
	r.LossRatio, r.DuplicateRatio, r.CorruptRatio =
		r.LossRatio+x.LossRatio, r.DuplicateRatio+x.DuplicateRatio, r.CorruptRatio+x.CorruptRatio
	r.Delay, r.Jitter = r.Delay+x.Delay, r.Jitter+x.Jitter
}

// partition is a partition in effect: the members inside, and the direction that is blocked (in, out, or empty: both).
type partition struct {
	inside    map[int]bool
	direction string
}

// member is one member of the fleet and the process it runs in.
type member struct {
	*fleet.Fleet
	starts        uint64 // number of starts; callbacks scheduled for an earlier process are ignored
	dead          bool
	pauses        int             // number of pauses in effect
	queued        []peer.Datagram // received while paused; processed when it resumes
	tickSeq       uint64          // number of the latest scheduled tick; earlier ones are ignored
	config        fleet.Config
	sentDatagrams int
	sentBytes     int
}

// Peers are the members of one run.
type Peers struct {
	clock       *VirtualClock
	random      rng.Source
	members     []*member
	partitions  []*partition  // those in effect
	impairments []*Impairment // those in effect, which add up
	handle      func(member int, a fleet.Action)
	countBytes  bool // each datagram is encoded to count its bytes
}

// NewPeers starts a member for each configuration. Actions of the members other than sending are passed to handle, which
// may be nil.
func NewPeers(c *VirtualClock, configs []fleet.Config, seed uint64, countBytes bool,
	handle func(member int, a fleet.Action)) *Peers {
	p := &Peers{clock: c, random: rng.Source{Seed: seed ^ 0x9ee5}, handle: handle, countBytes: countBytes}
	for i, config := range configs {
		p.members = append(p.members, &member{config: config, dead: true})
		p.Start(i)
	}
	return p
}

// Fleet gives the fleet module of a member.
func (p *Peers) Fleet(i int) *fleet.Fleet { return p.members[i].Fleet }

// Running says whether a member's process exists and is not paused.
func (p *Peers) Running(i int) bool { return !p.members[i].dead && p.members[i].pauses == 0 }

// SentTotals gives how many datagrams a member has sent, and their bytes if these are counted.
func (p *Peers) SentTotals(i int) (datagrams, bytes int) {
	return p.members[i].sentDatagrams, p.members[i].sentBytes
}

// Start starts a member's process.
func (p *Peers) Start(i int) {
	m := p.members[i]
	m.starts++
	m.dead, m.queued = false, nil
	config := m.config
	config.Seed = BalancerSeed(config.Seed+m.starts<<32, i)
	if config.Incarnation == 0 {
		config.Incarnation = swim.IncarnationAt(p.clock.Now())
	}
	m.Fleet = fleet.New(config, p.clock.Now())
	p.tick(i, m.starts)
}

// Kill ends a member's process without notice to the others.
func (p *Peers) Kill(i int) { p.members[i].dead, p.members[i].queued = true, nil }

// SetPaused pauses a member's process, or resumes it once every pause has ended.
func (p *Peers) SetPaused(i int, paused bool) {
	m := p.members[i]
	if paused {
		m.pauses++
		return
	}
	if m.pauses--; m.pauses > 0 || m.dead {
		return
	}
	// As in the proxy, the datagrams received meanwhile are processed first, then the tick that is due.
	queued := m.queued
	m.queued = nil
	for _, d := range queued {
		m.Receive(&d, p.clock.Now())
	}
	p.tick(i, m.starts)
}

// SetIncarnation sets the incarnation that a member begins with at its next start.
func (p *Peers) SetIncarnation(i int, incarnation uint64) {
	p.members[i].config.Incarnation = incarnation
}

func (p *Peers) tick(i int, starts uint64) {
	m := p.members[i]
	if m.starts != starts || !p.Running(i) {
		return
	}
	m.tickSeq++
	seq := m.tickSeq
	next := m.Tick(p.clock.Now())
	p.RunActions(i)
	p.clock.At(next, func() {
		if m.tickSeq == seq {
			p.tick(i, starts)
		}
	})
}

// RunActions executes the pending actions of a member.
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

// connected says whether no partition blocks messages from member i to member j.
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
			panic(err) // the members have to limit a datagram's size
		}
		m.sentBytes += len(b)
	}
	var total Impairment
	for _, r := range p.impairments {
		total.Add(*r)
	}
	if !p.connected(i, j) || p.random.Next() < total.LossRatio+total.CorruptRatio { // a corrupted one is dropped whole
		return
	}
	copies := 1
	if total.DuplicateRatio > 0 && p.random.Next() < total.DuplicateRatio {
		copies = 2
	}
	for range copies {
		p.clock.At(p.clock.Now()+1e5+total.Delay+int64(p.random.Next()*float64(total.Jitter)), func() { p.deliver(j, d) })
	}
}

func (p *Peers) deliver(j int, d peer.Datagram) {
	m := p.members[j]
	switch {
	case m.dead:
	case m.pauses > 0:
		const socketBuffer = 200 // number of datagrams that a socket holds
		if len(m.queued) < socketBuffer {
			m.queued = append(m.queued, d)
		}
	default:
		m.Receive(&d, p.clock.Now())
		p.RunActions(j)
	}
}

// Inject begins a fault of members and gives a function that ends it; a fault of another kind has no effect.
func (p *Peers) Inject(x Fault) (undo func()) {
	targets := x.Proxies
	if len(targets) == 0 && x.Count > 0 {
		targets = Sample(&p.random, len(p.members), x.Count)
	}
	each := func(do func(i int)) {
		for _, i := range targets {
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

// starve pauses a member for a fraction of each 100 ms, until *over is set.
func (p *Peers) starve(i int, fraction float64, over *bool) {
	const period = 1e8
	if *over {
		return
	}
	p.SetPaused(i, true)
	p.clock.At(p.clock.Now()+int64(fraction*period), func() { p.SetPaused(i, false) })
	p.clock.At(p.clock.Now()+period, func() { p.starve(i, fraction, over) })
}
