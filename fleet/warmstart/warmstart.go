// Package warmstart decides what a restarted client proxy may still trust: the content of its own snapshot by age
// and by whether it concerns the same configuration, and the reports of peers by how many agree. The package is
// free of I/O. It never makes a restarted proxy less careful than one without information: an ejection ends no
// later than it would have, and no single report ejects a server.
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

	rateMaxAge    = 60 * sec      // rates fade to zero over this time
	latencyMaxAge = 10 * 60 * sec // older latencies are of no use
	listMaxAge    = 60 * 60 * sec // an older list is worse than the configured one
	maxClockLead  = 5 * sec       // how far in the future a snapshot may be
	// Failures in a row that eject a server. A server that returns from an ejection is one failure short of it.
	ejectionStreak = 2
	suspectHealth  = 0.5 // health of a server that a single peer reports as ejected
	minReporters   = 2   // peers that have to report an ejection before it is adopted
	// Service counts as full when it reaches this part of the service before the restart for fullServiceTime.
	fullServicePart = 0.95
	fullServiceTime = 3 * sec
	sliceLength     = 250 * ms               // service is counted in slices of this length
	sliceCount      = 10 * sec / sliceLength // slices kept; service before a stop is measured over this time
)

// Host is one entry of a list.
type Host struct {
	balance.Server
	Addr string
}

// List is a proxy's list of servers.
type List struct {
	Generation int64
	Age        int64 // ns since discovery reported it
	Hosts      []Host
}

// Snapshot is the state that a proxy stores. It is encoded under the names in the tags, or else the names of the
// fields.
type Snapshot struct {
	Proxy       string `json:"Whose"` // listening address
	Incarnation uint64 `json:"Life"`  // 0: none
	Number      uint64 // number of the snapshot within the incarnation
	WallTime    int64  `json:"Wall"` // Unix ns
	// Id of the machine's boot; with Uptime it gives ages that do not depend on wall time.
	BootID     string `json:"Boot"`
	Uptime     int64  `json:"Up"`
	ConfigHash uint64 `json:"Shape"` // see ConfigHash
	List       List
	Balancer   balance.Snapshot `json:"Module"`
	Holds      holds.Table
	NewestKey  int64   `json:"Newest"` // Unix ns of the start of the newest idempotency key; 0: none
	Service    float64 // recent part of the value that was served in time; 0: not known
}

// Clocks is a point in time on the available clocks, in ns.
type Clocks struct {
	WallTime int64
	BootID   string
	Uptime   int64
}

// Verdict says whether one part of a snapshot is used.
type Verdict struct {
	Part string `json:"part"`
	Kept bool   `json:"kept"`
	Why  string `json:"why"`
}

// ConfigHash returns a hash of the configuration that a snapshot refers to.
func ConfigHash(cfg *balance.Config) uint64 {
	h := fnv.New64a()
	for _, r := range cfg.RuleSets {
		fmt.Fprintln(h, r.Name, r.Effect, r.Group, r.ResponseTarget)
	}
	fmt.Fprintln(h, cfg.LiveWeights, cfg.FleetSize/2, len(cfg.Tenants))
	return h.Sum64()
}

// Age returns the age of a snapshot in ns, or false if the snapshot is from the future.
func (m *Snapshot) Age(now Clocks) (int64, bool) {
	if m.BootID != "" && m.BootID == now.BootID {
		return now.Uptime - m.Uptime, now.Uptime >= m.Uptime
	}
	return max(0, now.WallTime-m.WallTime), now.WallTime >= m.WallTime-maxClockLead
}

// Evaluate returns what of a snapshot can be trusted, each part according to its age. Parts that are too old are
// emptied.
func Evaluate(m Snapshot, proxy string, cfg *balance.Config, now Clocks, trust int64) (Snapshot, []Verdict) {
	var verdicts []Verdict
	judge := func(part string, kept bool, why string, a ...any) bool {
		verdicts = append(verdicts, Verdict{part, kept, fmt.Sprintf(why, a...)})
		return kept
	}
	age, known := m.Age(now)
	if !judge("all", known && m.Proxy == proxy, "of %s, %.1f s old", m.Proxy, float64(age)/1e9) {
		return Snapshot{}, verdicts
	}
	m.List.Age += age
	if !judge("list", m.List.Age <= listMaxAge && len(m.List.Hosts) > 0, "%d servers, generation %d, %.1f s old",
		len(m.List.Hosts), m.List.Generation, float64(m.List.Age)/1e9) {
		m.List = List{}
	}
	b := &m.Balancer
	if !judge("servers", age <= trust, "what was met at %d, trusted for %.0f s", len(b.Servers), float64(trust)/1e9) {
		b.Servers = nil
	}
	b.Servers = slices.Clone(b.Servers)
	for i := range b.Servers {
		fadeServer(&b.Servers[i], age, trust)
	}
	if !judge("rates", age < rateMaxAge && m.ConfigHash == ConfigHash(cfg), "%.1f answers a second", b.Rate) {
		b.Rate, b.Tenants, b.LatencyRatio, b.MeanTarget, b.MeanValue, b.Keys = 0, nil, 0, 0, 0, nil
	}
	weight := max(0, 1-float64(age)/float64(rateMaxAge))
	b.Rate *= weight
	b.LatencyRatio *= weight
	b.Tenants = slices.Clone(b.Tenants)
	for i := range b.Tenants {
		b.Tenants[i].Rate *= weight
	}
	b.Keys = slices.Clone(b.Keys)
	for i := range b.Keys {
		b.Keys[i].N *= weight
	}
	return m, verdicts
}

// fadeServer ages what is known of one server.
func fadeServer(server *balance.ServerSnapshot, age, trust int64) {
	part := max(0, 1-float64(age)/float64(trust))
	if server.Health += (1 - server.Health) * (1 - part); !(server.Health > 0 && server.Health <= 1) {
		server.Health = 1
	}
	server.LastOutcomeAge = -1 // observed by another process, so not first-hand
	if server.EjectionLeft > age {
		server.EjectionLeft -= age
	} else if server.EjectionLeft > 0 { // the ejection is over: one failure ejects the server again, as in the balancer
		server.EjectionLeft, server.Streak, server.InflightCap = 0, ejectionStreak-1, 1
	}
	if age > latencyMaxAge {
		server.SlotTime, server.Latency = 0, 0
	}
	server.InflightCap = 1 + (max(1, server.InflightCap)-1)*part
}

// AgeServers ages what is known of servers.
func AgeServers(own []balance.ServerSnapshot, age, trust int64) []balance.ServerSnapshot {
	own = slices.Clone(own)
	for i := range own {
		fadeServer(&own[i], age, trust)
	}
	return own
}

// PeerReport holds what one peer has observed itself in its lifetime.
type PeerReport struct {
	Member  int
	Beliefs []Belief
}

// Belief is a peer's view of one server.
type Belief struct {
	Server  balance.ServerSnapshot // Health, EjectionLeft, Draining, Since and LastOutcomeAge only
	HeardAt int64                  // time of its arrival
	// Start of the server's process as received; Server.Since is the start in the local list.
	StartTime uint32
}

// MatchListed keeps the beliefs about processes that are in the local list. since returns a server's start in that
// list and the start's encoded form.
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

// MergeReports merges the reports of peers with what the proxy knows itself, which may be nothing. An ejection
// that the proxy knows itself stays. minReporters peers have to report an ejection before it is adopted; a server
// that only one reports is treated like one that returns from an ejection, so that its first failure ejects it.
// Beliefs about any process of a server but the latest known are ignored.
func MergeReports(own []balance.ServerSnapshot, reports []PeerReport, now int64) []balance.ServerSnapshot {
	var order []string
	latest, ownByID := map[string]int64{}, map[string]balance.ServerSnapshot{}
	note := func(server balance.ServerSnapshot) {
		if since, ok := latest[server.ID]; !ok {
			order = append(order, server.ID)
			latest[server.ID] = server.Since
		} else {
			latest[server.ID] = max(since, server.Since)
		}
	}
	for _, server := range own {
		note(server)
		ownByID[server.ID] = server
	}
	for _, report := range reports {
		for _, belief := range report.Beliefs {
			note(belief.Server)
		}
	}
	slices.Sort(order)
	var merged []balance.ServerSnapshot
	for _, id := range order {
		server, known := ownByID[id]
		if known = known && server.Since == latest[id]; !known {
			server = balance.ServerSnapshot{ID: id, Since: latest[id], Health: 1, InflightCap: 1}
		}
		var ejections []int64 // rest of the ejection according to each peer
		for _, report := range reports {
			for _, belief := range report.Beliefs {
				if belief.Server.ID != id || belief.Server.Since != server.Since {
					continue
				}
				server.Draining = server.Draining || belief.Server.Draining
				if left := belief.Server.EjectionLeft - (now - belief.HeardAt); left > 0 {
					ejections = append(ejections, left)
				}
				if !known {
					server.Health = min(server.Health, cmp.Or(belief.Server.Health, 1))
				}
			}
		}
		switch server.LastOutcomeAge = -1; {
		case server.EjectionLeft > 0:
		case len(ejections) >= minReporters:
			server.EjectionLeft, server.Streak, server.Ejections = slices.Min(ejections), ejectionStreak,
				max(1, server.Ejections)
		case len(ejections) > 0:
			server.Health, server.Streak, server.InflightCap = min(server.Health, suspectHealth), ejectionStreak-1, 1
		}
		merged = append(merged, server)
	}
	return merged
}

// ServiceMeter measures service in slices of time, and when it is full again after a start.
type ServiceMeter struct {
	StartedAt       int64
	PreviousService float64 // service before the previous process stopped; 0: not known
	FullAfter       int64   // ns from the start until service was full; 0: not yet
	slices          [sliceCount]struct{ served, all float64 }
	newest          int64 // number of the newest slice
}

// Add counts the value of a final answer.
func (m *ServiceMeter) Add(value float64, inTime bool, now int64) {
	m.advance(now)
	p := &m.slices[m.newest%sliceCount]
	if p.all += value; inTime {
		p.served += value
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

// Service returns the part of the value that was served in time within the window or the kept slices; 0 if there
// were no requests.
func (m *ServiceMeter) Service(window, now int64) float64 {
	m.advance(now)
	served, all := 0.0, 0.0
	for i := int64(1); i <= min(window/sliceLength, sliceCount-1); i++ { // the newest slice is incomplete
		p := m.slices[(m.newest-i+sliceCount)%sliceCount]
		served, all = served+p.served, all+p.all
	}
	if all == 0 {
		return 0
	}
	return served / all
}

// CheckFull reports once that service is full again, with the ns from the start to the beginning of the time in
// which it was full.
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

// Valid reports whether all figures are within their ranges. A snapshot that is not valid is ignored as a whole.
func (m *Snapshot) Valid() bool {
	for _, figure := range []float64{m.Balancer.Rate, m.Balancer.LatencyRatio, m.Balancer.MeanTarget,
		m.Balancer.MeanValue, m.Service} {
		if math.IsNaN(figure) || figure < 0 || figure > 1e15 {
			return false
		}
	}
	for _, l := range m.Balancer.Servers {
		for _, figure := range []float64{l.Health, l.SlotTime, l.Latency, l.InflightCap, l.RefutedShare} {
			if math.IsNaN(figure) || figure < 0 || figure > 1e15 {
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

// Status is the state of a proxy's warm start as shown to operators. Times are in milliseconds.
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
