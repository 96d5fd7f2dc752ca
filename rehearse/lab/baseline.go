package lab

// This file holds the baseline policies that the decision module is compared with. They implement the module's
// interface and keep to the same rules on repeated dispatches and on denials; they differ only in how they choose a
// server. They must never be used outside this package.

import (
	"cmp"
	"math"
	"slices"

	"ivybank/balance"
	"ivybank/internal/rng"
	"ivybank/rehearse/emu"
)

// Policies lists the policy names that a variant may use.
var Policies = []string{"module", "random", "least", "two", "oracle"}

// newPolicy returns a constructor for the named policy.
func newPolicy(name string, f *emu.Fleet) func(t balance.Config, now int64) emu.Policy {
	return func(t balance.Config, now int64) emu.Policy {
		if name == "module" {
			return balance.New(t, now)
		}
		p := &baselinePolicy{config: t, reqs: map[uint64]*baselineRequest{}, inFlight: map[string]int{}, listNeeded: t.ListOnRequest}
		p.random.Seed = t.Seed
		switch name {
		case "least":
			p.pick = func(c []balance.Server, _ *baselineRequest) int {
				return p.leastLoaded(c, p.randomIndex(len(c)), 0, len(c))
			}
		case "two":
			p.pick = func(c []balance.Server, _ *baselineRequest) int {
				return p.leastLoaded(c, p.randomIndex(len(c)), p.randomIndex(len(c)), 1)
			}
		case "oracle":
			p.pick = func(c []balance.Server, r *baselineRequest) int { return fastestServer(f, t.Zone, c, r.Work) }
		default:
			p.pick = func(c []balance.Server, _ *baselineRequest) int { return p.randomIndex(len(c)) }
		}
		return p
	}
}

type baselineRequest struct {
	balance.Arrival
	rules       balance.RuleSet
	deadline    int64
	attempts    []baselineAttempt
	outstanding int
	ended       bool
}

type baselineAttempt struct {
	srv         balance.Server
	mayHaveRun  bool
	outstanding bool
	at          int64
}

// baselinePolicy is a policy that knows only the server list and its own dispatches.
type baselinePolicy struct {
	config      balance.Config
	random      rng.Source
	pick        func(c []balance.Server, r *baselineRequest) int
	servers     []balance.Server            // sorted by ID
	reqs        map[uint64]*baselineRequest // an entry is removed when its request has ended and no attempt is outstanding
	open        []*baselineRequest          // in order of arrival; plan removes requests that have ended
	inFlight    map[string]int              // this policy's outstanding dispatches by server ID; removed as they end
	decisions   []balance.Decision
	planned     bool
	listNeeded  bool
	listRetryAt int64
}

func (p *baselinePolicy) randomIndex(n int) int { return min(n-1, int(p.random.Next()*float64(n))) }

// leastLoaded compares server i with n servers from index j on, wrapping around, and returns the first that has
// the fewest of this policy's dispatches relative to its share.
func (p *baselinePolicy) leastLoaded(c []balance.Server, i, j, n int) int {
	load := func(k int) float64 { return float64(p.inFlight[c[k].ID]+1) / max(0.1, c[k].Share) }
	for k := range n {
		if at := (j + k) % len(c); load(at) < load(i) {
			i = at
		}
	}
	return i
}

// fastestServer returns the index of the reachable server with the lowest expected latency by its true state, or -1.
func fastestServer(f *emu.Fleet, zone string, c []balance.Server, work int64) int {
	best, took := -1, math.Inf(1)
	for i, s := range c {
		srv := f.Server(s.ID)
		if x := srv.ExpectedLatency(work); x >= 0 && x < took && f.Reachable(zone, srv) {
			best, took = i, x
		}
	}
	return best
}

func (p *baselinePolicy) AddRequest(a balance.Arrival, now int64) {
	r := &baselineRequest{Arrival: a, deadline: now + a.Budget}
	if x := p.config.RuleSet(a.RuleSet); x != nil {
		r.rules = *x
		r.deadline = min(r.deadline, now+x.ResponseTarget)
	}
	r.deadline -= 2 * p.config.Tick
	p.reqs[a.ID] = r
	p.open = append(p.open, r)
}

func (p *baselinePolicy) Withdrawn(id uint64) {
	if r := p.reqs[id]; r != nil {
		p.end(r)
	}
}

func (p *baselinePolicy) end(r *baselineRequest) {
	r.ended = true
	if r.outstanding == 0 {
		delete(p.reqs, r.ID)
	}
}

func (p *baselinePolicy) Finished(id uint64, n int, o balance.Outcome, final bool, _, _ int64) {
	r := p.reqs[id]
	if r == nil || n >= len(r.attempts) || !r.attempts[n].outstanding {
		return
	}
	s := &r.attempts[n]
	s.outstanding, s.mayHaveRun = false, o != balance.Refused && o != balance.NoConnection && o != balance.NotSent
	r.outstanding--
	if p.inFlight[s.srv.ID]--; p.inFlight[s.srv.ID] == 0 {
		delete(p.inFlight, s.srv.ID)
	}
	if final || r.ended {
		p.end(r)
	}
}

func (p *baselinePolicy) UpdateList(form balance.ListForm, entries []balance.Server, now int64) {
	if form == balance.ListUnavailable {
		p.listRetryAt = now + 5e8
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

func (p *baselinePolicy) Next(now int64) (balance.Decision, bool) {
	if !p.planned {
		p.plan(now)
	}
	if p.planned = len(p.decisions) > 0; !p.planned {
		return balance.Decision{}, false
	}
	d := p.decisions[0]
	p.decisions = p.decisions[1:]
	return d, true
}

func (p *baselinePolicy) plan(now int64) {
	if p.listNeeded || p.listRetryAt > 0 && now >= p.listRetryAt {
		p.listNeeded, p.listRetryAt = false, 0
		p.decisions = append(p.decisions, balance.Decision{Kind: balance.RequestList})
	}
	next := int64(math.MaxInt64)
	if p.listRetryAt > 0 {
		next = p.listRetryAt
	}
	p.open = slices.DeleteFunc(p.open, func(r *baselineRequest) bool { return r.ended })
	for _, r := range p.open {
		if r.outstanding == 0 && now < r.deadline {
			p.dispatch(r, now)
		}
		if !r.ended && (r.outstanding == 0 || now >= r.deadline) {
			d := balance.Decision{Kind: balance.Abort, Request: r.ID}
			if p.canDeny(r) {
				d.Kind, d.Time = balance.Deny, min(p.config.MaxRetryAfter, r.rules.ResponseTarget/5)
			}
			p.decisions = append(p.decisions, d)
			for i, s := range r.attempts {
				if s.outstanding {
					p.decisions = append(p.decisions, balance.Decision{Kind: balance.Cancel, Request: r.ID, Attempt: i})
				}
			}
			p.end(r)
		}
		if !r.ended {
			next = min(next, r.deadline)
		}
	}
	if next < math.MaxInt64 {
		p.decisions = append(p.decisions, balance.Decision{Kind: balance.Wake, Time: max(p.config.Tick, next-now)})
	}
}

func (p *baselinePolicy) canDeny(r *baselineRequest) bool {
	return r.rules.CanDenyAfterRun() || !slices.ContainsFunc(r.attempts, func(s baselineAttempt) bool { return s.mayHaveRun || s.outstanding })
}

// dispatch sends the request to one of the servers that the repetition rules still allow.
func (p *baselinePolicy) dispatch(r *baselineRequest, now int64) {
	if len(r.attempts) >= p.config.MaxDispatches {
		return
	}
	left := slices.DeleteFunc(slices.Clone(p.servers), func(s balance.Server) bool {
		if s.State != balance.Running {
			return true
		}
		return slices.ContainsFunc(r.attempts, func(x baselineAttempt) bool {
			return x.mayHaveRun && !r.rules.CanRepeat(x.srv, s, x.at, now)
		})
	})
	if len(left) == 0 {
		return
	}
	i := p.pick(left, r)
	if i < 0 {
		return
	}
	r.attempts = append(r.attempts, baselineAttempt{srv: left[i], mayHaveRun: true, outstanding: true, at: now})
	r.outstanding++
	p.inFlight[left[i].ID]++
	p.decisions = append(p.decisions, balance.Decision{Kind: balance.Dispatch, Request: r.ID, Server: left[i].ID, Time: r.deadline})
}
