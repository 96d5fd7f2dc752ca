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
type Rough struct {
	Loss, Double, Garble float64
	Delay, Spread        int64
}

// Add has what befalls datagrams in one way befall them in another as well.
func (r *Rough) Add(x Rough) {
	r.Loss, r.Double, r.Garble = r.Loss+x.Loss, r.Double+x.Double, r.Garble+x.Garble
	r.Delay, r.Spread = r.Delay+x.Delay, r.Spread+x.Spread
}

// split is a partition in force: who is on one side, and which way nothing passes.
type split struct {
	in  map[int]bool
	way string
}

// seat of one member.
type membership struct {
	*fleet.Fleet
	life    uint64 // counts starts: what was due for an earlier process is not done
	gone    bool
	stopped int
	waiting []peer.Datagram // came while it was stopped; emptied when it goes on
	wake    uint64          // the tick that counts
	terms   fleet.Config
	Sent    int
	Bytes   int
}

// Peers are the members of one run.
type Peers struct {
	clock   *Virtual
	dice    rng.Source
	members []*membership
	splits  []*split // emptied as they end
	rough   []*Rough // emptied as they end; they add up
	act     func(member int, a fleet.Action)
	measure bool // bytes are counted: each datagram is put into its form
}

// NewPeers starts a member for each of the terms. What the members want other than sending is handed to act.
func NewPeers(c *Virtual, terms []fleet.Config, seed uint64, measure bool, act func(member int, a fleet.Action)) *Peers {
	p := &Peers{clock: c, dice: rng.Source{Seed: seed ^ 0x9ee5}, act: act, measure: measure}
	for i, t := range terms {
		p.members = append(p.members, &membership{terms: t, gone: true})
		p.Start(i)
	}
	return p
}

// Fleet is a member's part.
func (p *Peers) Fleet(i int) *fleet.Fleet { return p.members[i].Fleet }

// Up says whether a member's process lives and runs.
func (p *Peers) Up(i int) bool { return !p.members[i].gone && p.members[i].stopped == 0 }

// Sent is how many datagrams a member has sent, and their bytes where these are counted.
func (p *Peers) Sent(i int) (datagrams, bytes int) { return p.members[i].Sent, p.members[i].Bytes }

// Start begins a process at a member's place.
func (p *Peers) Start(i int) {
	m := p.members[i]
	m.life++
	m.gone, m.waiting = false, nil
	t := m.terms
	t.Seed = SeedOf(t.Seed+m.life<<32, i)
	if t.Incarnation == 0 {
		t.Incarnation = swim.IncarnationAt(p.clock.Now())
	}
	m.Fleet = fleet.New(t, p.clock.Now())
	p.tick(i, m.life)
}

// Kill ends a member's process.
func (p *Peers) Kill(i int) { p.members[i].gone, p.members[i].waiting = true, nil }

// Stop stops a member's process, or lets it go on once nothing stops it.
func (p *Peers) Stop(i int, stop bool) {
	m := p.members[i]
	if stop {
		m.stopped++
		return
	}
	if m.stopped--; m.stopped > 0 || m.gone {
		return
	}
	// What came meanwhile is read first, then what is due is done, as the proxy does.
	waiting := m.waiting
	m.waiting = nil
	for _, d := range waiting {
		m.Receive(&d, p.clock.Now())
	}
	p.tick(i, m.life)
}

// Back sets a member's clock of the day for its next start.
func (p *Peers) Back(i int, life uint64) { p.members[i].terms.Incarnation = life }

func (p *Peers) tick(i int, life uint64) {
	m := p.members[i]
	if m.life != life || !p.Up(i) {
		return
	}
	m.wake++
	mine := m.wake
	next := m.Tick(p.clock.Now())
	p.Carry(i)
	p.clock.At(next, func() {
		if m.wake == mine {
			p.tick(i, life)
		}
	})
}

// Carry carries out what a member wants.
func (p *Peers) Carry(i int) {
	m := p.members[i]
	for a, ok := m.Next(); ok; a, ok = m.Next() {
		if a.Kind == fleet.Send {
			p.send(i, a.To, a.Datagram)
		} else if p.act != nil {
			p.act(i, a)
		}
	}
}

// passes says whether anything passes from one member to another.
func (p *Peers) passes(i, j int) bool {
	for _, s := range p.splits {
		if s.in[i] && !s.in[j] && s.way != "in" || !s.in[i] && s.in[j] && s.way != "out" {
			return false
		}
	}
	return true
}

func (p *Peers) send(i, j int, d peer.Datagram) {
	m := p.members[i]
	m.Sent++
	if p.measure {
		b, err := peer.Encode(0, &d)
		if err != nil {
			panic(err) // the parts were to fit
		}
		m.Bytes += len(b)
	}
	var all Rough
	for _, r := range p.rough {
		all.Add(*r)
	}
	if !p.passes(i, j) || p.dice.Next() < all.Loss+all.Garble { // a garbled one is dropped whole
		return
	}
	copies := 1
	if all.Double > 0 && p.dice.Next() < all.Double {
		copies = 2
	}
	for range copies {
		p.clock.At(p.clock.Now()+1e5+all.Delay+int64(p.dice.Next()*float64(all.Spread)), func() { p.arrive(j, d) })
	}
}

func (p *Peers) arrive(j int, d peer.Datagram) {
	m := p.members[j]
	switch {
	case m.gone:
	case m.stopped > 0:
		const socket = 200 // datagrams that a socket keeps
		if len(m.waiting) < socket {
			m.waiting = append(m.waiting, d)
		}
	default:
		m.Receive(&d, p.clock.Now())
		p.Carry(j)
	}
}

// Strike does what befalls members; a fault of another kind does nothing.
func (p *Peers) Strike(x Fault) (undo func()) {
	hit := x.Proxies
	if len(hit) == 0 && x.Count > 0 {
		hit = Drawn(&p.dice, len(p.members), x.Count)
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
			if x.For > 0 {
				p.clock.At(p.clock.Now()+x.For+int64(p.dice.Next()*float64(x.Spread)), func() { p.Start(i) })
			}
		})
	case "proxy_end":
		each(func(i int) {
			p.members[i].Leave()
			p.Carry(i)
			p.Kill(i)
		})
	case "proxy_pause":
		each(func(i int) { p.Stop(i, true) })
		return func() { each(func(i int) { p.Stop(i, false) }) }
	case "proxy_starve":
		over := false
		each(func(i int) { p.starve(i, x.Size, &over) })
		return func() { over = true }
	case "split":
		s := &split{in: map[int]bool{}, way: x.Way}
		each(func(i int) { s.in[i] = true })
		p.splits = append(p.splits, s)
		return func() { p.splits = slices.DeleteFunc(p.splits, func(y *split) bool { return y == s }) }
	case "datagrams":
		r := &Rough{x.Loss, x.Double, x.Garble, x.Delay, x.Spread}
		p.rough = append(p.rough, r)
		return func() { p.rough = slices.DeleteFunc(p.rough, func(y *Rough) bool { return y == r }) }
	}
	return func() {}
}

// starve stops a member for a part of each piece of time.
func (p *Peers) starve(i int, part float64, over *bool) {
	const piece = 1e8
	if *over {
		return
	}
	p.Stop(i, true)
	p.clock.At(p.clock.Now()+int64(part*piece), func() { p.Stop(i, false) })
	p.clock.At(p.clock.Now()+piece, func() { p.starve(i, part, over) })
}
