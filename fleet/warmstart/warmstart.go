// Package warmstart says what a client proxy that comes back may still believe: of what it wrote down itself, by its age and by whether
// what it speaks of is the same, and of what others tell, by how many say so. Free of I/O. It must never make a returner less careful
// than one that knows nothing: an ejection ends no later than it would have, and nobody's word alone puts a server out.
package warmstart

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"

	"ivybank/balance"
	"ivybank/fleet/holds"
)

const (
	ms, sec = int64(1e6), int64(1e9)

	rateFor   = 60 * sec             // rates fade over this time
	paceFor   = 10 * 60 * sec        // times of answers are of use for so long
	listFor   = 60 * 60 * sec        // a list older than this is worse than that of the start
	aheadMost = 5 * sec              // a snapshot may be from the future by so much
	doubted   = 2                    // failures in a row that eject: one less is the state of a server that comes back from an ejection
	wary      = 0.5                  // health of a server that one other holds to be out
	enough    = 2                    // others that have to say so before it is
	fullPart  = 0.95                 // of the service before from which it counts as full
	fullSpan  = 3 * sec              // for so long
	pieceSpan = 250 * ms             // service is counted by such pieces
	before    = 10 * sec / pieceSpan // of them, that service before an end is taken over
)

// Host is one entry of a list.
type Host struct {
	balance.Server
	Addr string
}

// List is the list of servers as a proxy held it.
type List struct {
	Generation int64
	Age        int64 // since discovery told of it, in ns
	Hosts      []Host
}

// Memory is what a proxy writes down.
type Snapshot struct {
	Proxy       string `json:"Whose"` // listening address
	Incarnation uint64 `json:"Life"`  // incarnation; 0: none
	Number      uint64 // of this life's snapshots
	WallTime    int64  `json:"Wall"` // Unix ns
	BootID      string `json:"Boot"` // the machine's start, and the time since: ages by it need no clock of the day
	Uptime      int64  `json:"Up"`
	ConfigHash  uint64 `json:"Shape"` // of the terms
	List        List
	Balancer    balance.Snapshot `json:"Module"`
	Holds       holds.Table
	NewestKey   int64   `json:"Newest"` // Unix ns of the newest idempotency key's beginning; 0: none
	Service     float64 // part of the worth that was served in time over the last seconds; 0: not known
}

// Now is a point in time by the clocks that there are.
type Clocks struct {
	WallTime int64
	BootID   string
	Uptime   int64
}

// Verdict is what became of one part of a memory.
type Verdict struct {
	Part string `json:"part"`
	Kept bool   `json:"kept"`
	Why  string `json:"why"`
}

// Shape is a number for what the terms hold that a memory refers to.
func ConfigHash(t *balance.Config) uint64 {
	h := fnv.New64a()
	for _, r := range t.RuleSets {
		fmt.Fprintln(h, r.Name, r.Effect, r.Group, r.ResponseTarget)
	}
	fmt.Fprintln(h, t.LiveWeights, t.FleetSize/2, len(t.Tenants))
	return h.Sum64()
}

// Age is how old a memory is; false where that cannot be told, as it is from the future.
func (m *Snapshot) Age(now Clocks) (int64, bool) {
	if m.BootID != "" && m.BootID == now.BootID {
		return now.Uptime - m.Uptime, now.Uptime >= m.Uptime
	}
	return max(0, now.WallTime-m.WallTime), now.WallTime >= m.WallTime-aheadMost
}

// Weigh gives what of a memory is to be believed: each part by its age, and what is too old as not known.
func Evaluate(m Snapshot, whose string, t *balance.Config, now Clocks, trust int64) (Snapshot, []Verdict) {
	var out []Verdict
	judge := func(part string, kept bool, why string, a ...any) bool {
		out = append(out, Verdict{part, kept, fmt.Sprintf(why, a...)})
		return kept
	}
	age, sound := m.Age(now)
	if !judge("all", sound && m.Proxy == whose, "of %s, %.1f s old", m.Proxy, float64(age)/1e9) {
		return Snapshot{}, out
	}
	m.List.Age += age
	if !judge("list", m.List.Age <= listFor && len(m.List.Hosts) > 0, "%d servers, generation %d, %.1f s old", len(m.List.Hosts), m.List.Generation, float64(m.List.Age)/1e9) {
		m.List = List{}
	}
	x := &m.Balancer
	if !judge("servers", age <= trust, "what was met at %d, trusted for %.0f s", len(x.Servers), float64(trust)/1e9) {
		x.Servers = nil
	}
	x.Servers = slices.Clone(x.Servers)
	for i := range x.Servers {
		fadeBelief(&x.Servers[i], age, trust)
	}
	if !judge("rates", age < rateFor && m.ConfigHash == ConfigHash(t), "%.1f answers a second", x.Rate) {
		x.Rate, x.Tenants, x.LatencyRatio, x.MeanTarget, x.MeanValue, x.Keys = 0, nil, 0, 0, 0, nil
	}
	left := max(0, 1-float64(age)/float64(rateFor))
	x.Rate *= left
	x.LatencyRatio *= left
	x.Tenants = slices.Clone(x.Tenants)
	for i := range x.Tenants {
		x.Tenants[i].Rate *= left
	}
	x.Keys = slices.Clone(x.Keys)
	for i := range x.Keys {
		x.Keys[i].N *= left
	}
	return m, out
}

// fadeBelief lets time pass for what is known of one server.
func fadeBelief(l *balance.ServerSnapshot, age, trust int64) {
	part := max(0, 1-float64(age)/float64(trust))
	if l.Health += (1 - l.Health) * (1 - part); !(l.Health > 0 && l.Health <= 1) {
		l.Health = 1
	}
	l.LastOutcomeAge = -1 // of another process: it is not first-hand any more
	if l.EjectionLeft > age {
		l.EjectionLeft -= age
	} else if l.EjectionLeft > 0 { // its time is over: it is one failure away from the next, as the module would have it
		l.EjectionLeft, l.Streak, l.InflightCap = 0, doubted-1, 1
	}
	if age > paceFor {
		l.SlotTime, l.Latency = 0, 0
	}
	l.InflightCap = 1 + (max(1, l.InflightCap)-1)*part
}

// Later lets time pass for what was believed of servers.
func Age(own []balance.ServerSnapshot, age, trust int64) []balance.ServerSnapshot {
	own = slices.Clone(own)
	for i := range own {
		fadeBelief(&own[i], age, trust)
	}
	return own
}

// Told is what one other says: only what it has met itself in its own life.
type PeerReport struct {
	Member  int
	Beliefs []Belief
}

// Belief is one server in it.
type Belief struct {
	Server  balance.ServerSnapshot // Health, Left, Draining, Since and Met alone
	HeardAt int64                  // when
	Start   uint32                 // of the server's process as it came; Since is what the returner's own list has for it
}

// Match keeps what is said of processes that the returner's own list names; since gives a server's start there, and its form on the wire.
func MatchListed(told []PeerReport, since func(id string) (at int64, start uint32, listed bool)) []PeerReport {
	out := make([]PeerReport, 0, len(told))
	for _, t := range told {
		m := PeerReport{Member: t.Member}
		for _, b := range t.Beliefs {
			if at, start, listed := since(b.Server.ID); listed && start == b.Start {
				b.Server.Since = at
				m.Beliefs = append(m.Beliefs, b)
			}
		}
		out = append(out, m)
	}
	return out
}

// Learn works out what to believe of servers by others' word and one's own, which may be none. What oneself held to be out stays so. Two
// others have to say that a server is out; where one alone does it is met as one that comes back from an ejection: the first failure
// ejects it. What is said of another process than the latest that anybody knows is void.
func MergeReports(own []balance.ServerSnapshot, told []PeerReport, now int64) []balance.ServerSnapshot {
	var order []string
	latest, had := map[string]int64{}, map[string]balance.ServerSnapshot{}
	note := func(l balance.ServerSnapshot) {
		if since, ok := latest[l.ID]; !ok {
			order = append(order, l.ID)
			latest[l.ID] = l.Since
		} else {
			latest[l.ID] = max(since, l.Since)
		}
	}
	for _, l := range own {
		note(l)
		had[l.ID] = l
	}
	for _, t := range told {
		for _, b := range t.Beliefs {
			note(b.Server)
		}
	}
	slices.Sort(order)
	var out []balance.ServerSnapshot
	for _, id := range order {
		l, mine := had[id]
		if mine = mine && l.Since == latest[id]; !mine {
			l = balance.ServerSnapshot{ID: id, Since: latest[id], Health: 1, InflightCap: 1}
		}
		var left []int64 // that others say is left of an ejection
		for _, t := range told {
			for _, b := range t.Beliefs {
				if b.Server.ID != id || b.Server.Since != l.Since {
					continue
				}
				l.Draining = l.Draining || b.Server.Draining
				if x := b.Server.EjectionLeft - (now - b.HeardAt); x > 0 {
					left = append(left, x)
				}
				if !mine {
					l.Health = min(l.Health, cmp.Or(b.Server.Health, 1))
				}
			}
		}
		switch l.LastOutcomeAge = -1; {
		case l.EjectionLeft > 0:
		case len(left) >= enough:
			l.EjectionLeft, l.Streak, l.Ejections = slices.Min(left), doubted, max(1, l.Ejections)
		case len(left) > 0:
			l.Health, l.Streak, l.InflightCap = min(l.Health, wary), doubted-1, 1
		}
		out = append(out, l)
	}
	return out
}

// Meter measures service by pieces of time, and when it has come back.
type ServiceMeter struct {
	StartedAt       int64
	PreviousService float64 // service before the end of the process before; 0: not known
	FullAfter       int64   // from the start until service was full; 0: not yet
	pieces          [before]struct{ good, all float64 }
	at              int64 // number of the newest piece
}

// Add takes a final answer's worth.
func (x *ServiceMeter) Add(worth float64, good bool, now int64) {
	x.move(now)
	p := &x.pieces[x.at%before]
	if p.all += worth; good {
		p.good += worth
	}
}

func (x *ServiceMeter) move(now int64) {
	for n := now / pieceSpan; x.at < n; {
		if n-x.at > before {
			x.at = n - before
		}
		x.at++
		x.pieces[x.at%before].good, x.pieces[x.at%before].all = 0, 0
	}
}

// Service is the part of the worth that was served in time over the last seconds, or all that are kept; 0 where nothing was asked.
func (x *ServiceMeter) Service(over, now int64) float64 {
	x.move(now)
	good, all := 0.0, 0.0
	for i := int64(1); i <= min(over/pieceSpan, before-1); i++ { // the newest piece is not whole
		p := x.pieces[(x.at-i+before)%before]
		good, all = good+p.good, all+p.all
	}
	if all == 0 {
		return 0
	}
	return good / all
}

// Look says once that service is full again: how long after the start the seconds began in which it was.
func (x *ServiceMeter) CheckFull(now int64) (after int64, full bool) {
	if x.FullAfter != 0 || now-x.StartedAt < fullSpan+pieceSpan {
		return 0, false
	}
	if x.Service(fullSpan, now) < fullPart*cmp.Or(x.PreviousService, 1) {
		return 0, false
	}
	x.FullAfter = max(1, now-x.StartedAt-fullSpan)
	return x.FullAfter, true
}

// Sound says whether a memory's figures are some that there can be; one that was made up or is of another form is dropped whole.
func (m *Snapshot) Valid() bool {
	for _, x := range []float64{m.Balancer.Rate, m.Balancer.LatencyRatio, m.Balancer.MeanTarget, m.Balancer.MeanValue, m.Service} {
		if math.IsNaN(x) || x < 0 || x > 1e15 {
			return false
		}
	}
	for _, l := range m.Balancer.Servers {
		for _, x := range []float64{l.Health, l.SlotTime, l.Latency, l.InflightCap, l.RefutedShare} {
			if math.IsNaN(x) || x < 0 || x > 1e15 {
				return false
			}
		}
		if l.ID == "" || l.EjectionLeft < 0 || l.Streak < 0 || l.Ejections < 0 {
			return false
		}
	}
	for _, h := range m.List.Hosts {
		if h.ID == "" || h.Addr == "" || h.State < balance.Running || h.State > balance.Gone {
			return false
		}
	}
	return true
}

// Status is what an operator sees of a proxy's coming back. Times are milliseconds.
type Status struct {
	List            string    `json:"list"` // start, disk or discovery
	ListAge         int64     `json:"list_age_ms"`
	Generation      int64     `json:"generation"`
	Kept            []Verdict `json:"kept,omitempty"`
	FullAfter       int64     `json:"full_after_ms"` // 0: service is not full yet
	Service         float64   `json:"service"`
	Written         int       `json:"written"`
	Unwritten       int       `json:"unwritten"`
	Refused         int       `json:"refused"`
	Asked           int       `json:"asked"`
	Answers         int       `json:"answers"`
	AnswersSent     int       `json:"taught"`
	DrainingByPeers int       `json:"drains_by_others"`
	Stalls          int       `json:"stood_still"`
}
