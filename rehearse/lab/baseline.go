package lab

// This file owns what the module is compared with: policies of a few lines behind the module's interface. They keep to the
// same rules on dispatching again and on denying, and differ in which server they take. They must never leave the lab.

import (
	"cmp"
	"math"
	"slices"

	"ivybank/balance"
	"ivybank/internal/rng"
	"ivybank/rehearse/emu"
)

// Policies are those that a variant may name.
var Policies = []string{"module", "random", "least", "two", "oracle"}

// newPolicy gives what puts a policy in a balancer's place.
func newPolicy(name string, f *emu.Fleet) func(t balance.Config, now int64) emu.Policy {
	return func(t balance.Config, now int64) emu.Policy {
		if name == "module" {
			return balance.New(t, now)
		}
		p := &plain{t: t, reqs: map[uint64]*plainReq{}, out: map[string]int{}, asks: t.ListOnRequest}
		p.dice.Seed = t.Seed
		switch name {
		case "least":
			p.pick = func(c []balance.Server, _ *plainReq) int { return p.lower(c, p.any(len(c)), 0, len(c)) }
		case "two":
			p.pick = func(c []balance.Server, _ *plainReq) int { return p.lower(c, p.any(len(c)), p.any(len(c)), 1) }
		case "oracle":
			p.pick = func(c []balance.Server, r *plainReq) int { return quickest(f, t.Zone, c, r.Work) }
		default:
			p.pick = func(c []balance.Server, _ *plainReq) int { return p.any(len(c)) }
		}
		return p
	}
}

type plainReq struct {
	balance.Arrival
	rules  balance.RuleSet
	giveUp int64
	sends  []plainSend
	outs   int
	ended  bool
}

type plainSend struct {
	srv   balance.Server
	maybe bool
	out   bool
	at    int64
}

// plain is a policy that knows the list and its own dispatches, nothing else.
type plain struct {
	t       balance.Config
	dice    rng.Source
	pick    func(c []balance.Server, r *plainReq) int
	servers []balance.Server     // by id
	reqs    map[uint64]*plainReq // emptied when a req has ended and nothing of it is out
	open    []*plainReq          // in order of arrival; emptied by Next
	out     map[string]int       // own dispatches at each server; emptied as they end
	todo    []balance.Decision
	planned bool
	asks    bool
	askAt   int64
}

func (p *plain) any(n int) int { return min(n-1, int(p.dice.Next()*float64(n))) }

// lower is the first of n servers from i on, counted round from j, that has the fewest own dispatches for its size.
func (p *plain) lower(c []balance.Server, i, j, n int) int {
	load := func(k int) float64 { return float64(p.out[c[k].ID]+1) / max(0.1, c[k].Share) }
	for k := range n {
		if at := (j + k) % len(c); load(at) < load(i) {
			i = at
		}
	}
	return i
}

// quickest is the server that would truly answer first.
func quickest(f *emu.Fleet, zone string, c []balance.Server, work int64) int {
	best, took := -1, math.Inf(1)
	for i, s := range c {
		srv := f.Server(s.ID)
		if x := srv.ExpectedLatency(work); x >= 0 && x < took && f.Reachable(zone, srv) {
			best, took = i, x
		}
	}
	return best
}

func (p *plain) AddRequest(a balance.Arrival, now int64) {
	r := &plainReq{Arrival: a, giveUp: now + a.Budget}
	if x := p.t.RuleSet(a.RuleSet); x != nil {
		r.rules = *x
		r.giveUp = min(r.giveUp, now+x.ResponseTarget)
	}
	r.giveUp -= 2 * p.t.Tick
	p.reqs[a.ID] = r
	p.open = append(p.open, r)
}

func (p *plain) Withdrawn(id uint64) {
	if r := p.reqs[id]; r != nil {
		p.end(r)
	}
}

func (p *plain) end(r *plainReq) {
	r.ended = true
	if r.outs == 0 {
		delete(p.reqs, r.ID)
	}
}

func (p *plain) Finished(id uint64, n int, o balance.Outcome, final bool, _, _ int64) {
	r := p.reqs[id]
	if r == nil || n >= len(r.sends) || !r.sends[n].out {
		return
	}
	s := &r.sends[n]
	s.out, s.maybe = false, o != balance.Refused && o != balance.NoConnection && o != balance.NotSent
	r.outs--
	if p.out[s.srv.ID]--; p.out[s.srv.ID] == 0 {
		delete(p.out, s.srv.ID)
	}
	if final || r.ended {
		p.end(r)
	}
}

func (p *plain) UpdateList(form balance.ListForm, entries []balance.Server, now int64) {
	if form == balance.ListUnavailable {
		p.askAt = now + 5e8
		return
	}
	if form != balance.ListUpdate {
		p.servers = nil
	}
	for _, e := range entries {
		i, had := slices.BinarySearchFunc(p.servers, e.ID, func(s balance.Server, id string) int { return cmp.Compare(s.ID, id) })
		if had {
			p.servers[i] = e
		} else {
			p.servers = slices.Insert(p.servers, i, e)
		}
	}
}

func (p *plain) Next(now int64) (balance.Decision, bool) {
	if !p.planned {
		p.plan(now)
	}
	if p.planned = len(p.todo) > 0; !p.planned {
		return balance.Decision{}, false
	}
	d := p.todo[0]
	p.todo = p.todo[1:]
	return d, true
}

func (p *plain) plan(now int64) {
	if p.asks || p.askAt > 0 && now >= p.askAt {
		p.asks, p.askAt = false, 0
		p.todo = append(p.todo, balance.Decision{Kind: balance.RequestList})
	}
	next := int64(math.MaxInt64)
	if p.askAt > 0 {
		next = p.askAt
	}
	p.open = slices.DeleteFunc(p.open, func(r *plainReq) bool { return r.ended })
	for _, r := range p.open {
		if r.outs == 0 && now < r.giveUp {
			p.dispatch(r, now)
		}
		if !r.ended && (r.outs == 0 || now >= r.giveUp) {
			d := balance.Decision{Kind: balance.Abort, Request: r.ID}
			if p.harmless(r) {
				d.Kind, d.Time = balance.Deny, min(p.t.MaxRetryAfter, r.rules.ResponseTarget/5)
			}
			p.todo = append(p.todo, d)
			for i, s := range r.sends {
				if s.out {
					p.todo = append(p.todo, balance.Decision{Kind: balance.Cancel, Request: r.ID, Attempt: i})
				}
			}
			p.end(r)
		}
		if !r.ended {
			next = min(next, r.giveUp)
		}
	}
	if next < math.MaxInt64 {
		p.todo = append(p.todo, balance.Decision{Kind: balance.Wake, Time: max(p.t.Tick, next-now)})
	}
}

func (p *plain) harmless(r *plainReq) bool {
	return r.rules.CanDenyAfterRun() || !slices.ContainsFunc(r.sends, func(s plainSend) bool { return s.maybe || s.out })
}

// dispatch takes a server of those that the rules leave.
func (p *plain) dispatch(r *plainReq, now int64) {
	if len(r.sends) >= p.t.MaxDispatches {
		return
	}
	left := slices.DeleteFunc(slices.Clone(p.servers), func(s balance.Server) bool {
		if s.State != balance.Running {
			return true
		}
		return slices.ContainsFunc(r.sends, func(x plainSend) bool {
			return x.maybe && !r.rules.CanRepeat(x.srv, s, x.at, now)
		})
	})
	if len(left) == 0 {
		return
	}
	i := p.pick(left, r)
	if i < 0 {
		return
	}
	r.sends = append(r.sends, plainSend{srv: left[i], maybe: true, out: true, at: now})
	r.outs++
	p.out[left[i].ID]++
	p.todo = append(p.todo, balance.Decision{Kind: balance.Dispatch, Request: r.ID, Server: left[i].ID, Time: r.giveUp})
}
