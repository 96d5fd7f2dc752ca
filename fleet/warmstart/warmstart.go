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

	rateMaxAge   = 60 * sec             // rates fade over this time
	latencyMaxAge   = 10 * 60 * sec        // times of answers are of use for so long
	listMaxAge   = 60 * 60 * sec        // a list older than this is worse than that of the start
	maxClockLead = 5 * sec              // a snapshot may be from the future by so much
	ejectionStreak   = 2                    // failures in a row that eject: one less is the state of a server that comes back from an ejection
	suspectHealth      = 0.5                  // health of a server that one other holds to be out
	minReporters    = 2                    // others that have to say so before it is
	fullServicePart  = 0.95                 // of the service before from which it counts as full
	fullServiceTime  = 3 * sec              // for so long
	sliceLength = 250 * ms             // service is counted by such pieces
	sliceCount    = 10 * sec / sliceLength // of them, that service before an end is taken over
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
func ConfigHash(cfg *balance.Config) uint64 {
	h := fnv.New64a()
	for _, r := range cfg.RuleSets {
		fmt.Fprintln(h, r.Name, r.Effect, r.Group, r.ResponseTarget)
	}
	fmt.Fprintln(h, cfg.LiveWeights, cfg.FleetSize/2, len(cfg.Tenants))
	return h.Sum64()
}

// Age is how old a memory is; false where that cannot be told, as it is from the future.
func (m *Snapshot) Age(now Clocks) (int64, bool) {
	if m.BootID != "" && m.BootID == now.BootID {
		return now.Uptime - m.Uptime, now.Uptime >= m.Uptime
	}
	return max(0, now.WallTime-m.WallTime), now.WallTime >= m.WallTime-maxClockLead
}

// Weigh gives what of a memory is to be believed: each part by its age, and what is too old as not known.
func Evaluate(m Snapshot, proxy string, cfg *balance.Config, now Clocks, trust int64) (Snapshot, []Verdict) {
	var out []Verdict
	judge := func(part string, kept bool, why string, a ...any) bool {
		out = append(out, Verdict{part, kept, fmt.Sprintf(why, a...)})
		return kept
	}
	age, known := m.Age(now)
	if !judge("all", known && m.Proxy == proxy, "of %s, %.1f s old", m.Proxy, float64(age)/1e9) {
		return Snapshot{}, out
	}
	m.List.Age += age
	if !judge("list", m.List.Age <= listMaxAge && len(m.List.Hosts) > 0, "%d servers, generation %d, %.1f s old", len(m.List.Hosts), m.List.Generation, float64(m.List.Age)/1e9) {
		m.List = List{}
	}
	x := &m.Balancer
	if !judge("servers", age <= trust, "what was met at %d, trusted for %.0f s", len(x.Servers), float64(trust)/1e9) {
		x.Servers = nil
	}
	x.Servers = slices.Clone(x.Servers)
	for i := range x.Servers {
		fadeServer(&x.Servers[i], age, trust)
	}
	if !judge("rates", age < rateMaxAge && m.ConfigHash == ConfigHash(cfg), "%.1f answers a second", x.Rate) {
		x.Rate, x.Tenants, x.LatencyRatio, x.MeanTarget, x.MeanValue, x.Keys = 0, nil, 0, 0, 0, nil
	}
	left := max(0, 1-float64(age)/float64(rateMaxAge))
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
func fadeServer(server *balance.ServerSnapshot, age, trust int64) {
	part := max(0, 1-float64(age)/float64(trust))
	if server.Health += (1 - server.Health) * (1 - part); !(server.Health > 0 && server.Health <= 1) {
		server.Health = 1
	}
	server.LastOutcomeAge = -1 // of another process: it is not first-hand any more
	if server.EjectionLeft > age {
		server.EjectionLeft -= age
	} else if server.EjectionLeft > 0 { // its time is over: it is one failure away from the next, as the module would have it
		server.EjectionLeft, server.Streak, server.InflightCap = 0, ejectionStreak-1, 1
	}
	if age > latencyMaxAge {
		server.SlotTime, server.Latency = 0, 0
	}
	server.InflightCap = 1 + (max(1, server.InflightCap)-1)*part
}

// Later lets time pass for what was believed of servers.
func Age(own []balance.ServerSnapshot, age, trust int64) []balance.ServerSnapshot {
	own = slices.Clone(own)
	for i := range own {
		fadeServer(&own[i], age, trust)
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
	StartTime   uint32                 // of the server's process as it came; Since is what the returner's own list has for it
}

// Match keeps what is said of processes that the returner's own list names; since gives a server's start there, and its form on the wire.
func MatchListed(reports []PeerReport, since func(id string) (at int64, start uint32, listed bool)) []PeerReport {
	out := make([]PeerReport, 0, len(reports))
	for _, report := range reports {
		matched := PeerReport{Member: report.Member}
		for _, b := range report.Beliefs {
			if at, start, listed := since(b.Server.ID); listed && start == b.StartTime {
				b.Server.Since = at
				matched.Beliefs = append(matched.Beliefs, b)
			}
		}
		out = append(out, matched)
	}
	return out
}

// Learn works out what to believe of servers by others' word and one's own, which may be none. What oneself held to be out stays so. Two
// others have to say that a server is out; where one alone does it is met as one that comes back from an ejection: the first failure
// ejects it. What is said of another process than the latest that anybody knows is void.
func MergeReports(own []balance.ServerSnapshot, reports []PeerReport, now int64) []balance.ServerSnapshot {
	var order []string
	latest, ownByID := map[string]int64{}, map[string]balance.ServerSnapshot{}
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
		ownByID[l.ID] = l
	}
	for _, report := range reports {
		for _, belief := range report.Beliefs {
			note(belief.Server)
		}
	}
	slices.Sort(order)
	var out []balance.ServerSnapshot
	for _, id := range order {
		l, known := ownByID[id]
		if known = known && l.Since == latest[id]; !known {
			l = balance.ServerSnapshot{ID: id, Since: latest[id], Health: 1, InflightCap: 1}
		}
		var ejections []int64 // that others say is left of an ejection
		for _, report := range reports {
			for _, belief := range report.Beliefs {
				if belief.Server.ID != id || belief.Server.Since != l.Since {
					continue
				}
				l.Draining = l.Draining || belief.Server.Draining
				if x := belief.Server.EjectionLeft - (now - belief.HeardAt); x > 0 {
					ejections = append(ejections, x)
				}
				if !known {
					l.Health = min(l.Health, cmp.Or(belief.Server.Health, 1))
				}
			}
		}
		switch l.LastOutcomeAge = -1; {
		case l.EjectionLeft > 0:
		case len(ejections) >= minReporters:
			l.EjectionLeft, l.Streak, l.Ejections = slices.Min(ejections), ejectionStreak, max(1, l.Ejections)
		case len(ejections) > 0:
			l.Health, l.Streak, l.InflightCap = min(l.Health, suspectHealth), ejectionStreak-1, 1
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
	slices          [sliceCount]struct{ served, all float64 }
	newest              int64 // number of the newest piece
}

// Add takes a final answer's worth.
func (m *ServiceMeter) Add(worth float64, inTime bool, now int64) {
	m.advance(now)
	p := &m.slices[m.newest%sliceCount]
	if p.all += worth; inTime {
		p.served += worth
	}
}

func (m *ServiceMeter) advance(now int64) {
	for n := now / sliceLength; m.newest < n; {
		if n-m.newest > sliceCount {
			m.newest = n - sliceCount
		}
		m.newest++
		m.slices[m.newest%sliceCount].served, m.slices[m.newest%sliceCount].all = 0, 0
	}
}

// Service is the part of the worth that was served in time over the last seconds, or all that are kept; 0 where nothing was asked.
func (m *ServiceMeter) Service(window, now int64) float64 {
	m.advance(now)
	served, all := 0.0, 0.0
	for i := int64(1); i <= min(window/sliceLength, sliceCount-1); i++ { // the newest piece is not whole
		p := m.slices[(m.newest-i+sliceCount)%sliceCount]
		served, all = served+p.served, all+p.all
	}
	if all == 0 {
		return 0
	}
	return served / all
}

// Look says once that service is full again: how long after the start the seconds began in which it was.
func (m *ServiceMeter) CheckFull(now int64) (after int64, full bool) {
	if m.FullAfter != 0 || now-m.StartedAt < fullServiceTime+sliceLength {
		return 0, false
	}
	if m.Service(fullServiceTime, now) < fullServicePart*cmp.Or(m.PreviousService, 1) {
		return 0, false
	}
	m.FullAfter = max(1, now-m.StartedAt-fullServiceTime)
	return m.FullAfter, true
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
