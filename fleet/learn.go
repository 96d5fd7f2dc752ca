package fleet

// This file holds how a member that has just started queries older members about servers, and how those answer. A
// member never reports what it has not observed in its own lifetime, and answers use no more than their fraction
// of its datagram limit.

import (
	"slices"

	"ivybank/balance"
	"ivybank/fleet/peer"
	"ivybank/fleet/warmstart"
)

const (
	queryInterval     = 100 * ms // between queries, each to another member
	minAnswererAge    = 5 * sec  // a younger member does not answer: it has observed too little
	maxObservationAge = 30 * sec // older observations are not reported
	answerFraction    = 0.25     // of the datagram limit, with a burst of one second's worth of datagrams
	healthyAbove      = 0.9      // healthier servers in use are not reported
)

// LearnConfig configures learning from peers.
type LearnConfig struct {
	MinPeers int   // how many peers have to answer
	Timeout  int64 // how long after its start a member queries peers
}

// learner holds the queries and answers of a member, and the limit on its own answers.
type learner struct {
	until        int64
	queryAt      int64
	queried      []bool                 // by member
	reports      []warmstart.PeerReport // by reporting member
	answerTokens tokenBucket            // for answers
	newestKeys   []uint64               // by member: Unix ms of the newest idempotency key that it has reported
	ownKey       uint64                 // Unix ms of this member's newest key
	// Unix ms of the newest key that peers remember from an earlier process of this member.
	reportedKey     uint64
	startedAt       int64
	queriesSent     int
	answersSent     int
	answersReceived int
}

func newLearner(cfg Config, now int64) learner {
	l := learner{startedAt: now}
	if cfg.Learn != nil {
		l.until, l.queried, l.newestKeys, l.answerTokens = now+cfg.Learn.Timeout, make([]bool, cfg.Members),
			make([]uint64, cfg.Members), tokenBucket{cfg.DatagramsPerSecond, now}
	}
	return l
}

// Learning reports whether this member still waits for answers.
func (f *Fleet) Learning(now int64) bool {
	return f.cfg.Learn != nil && now < f.learner.until && len(f.learner.reports) < f.cfg.Learn.MinPeers
}

// queryPeer queries one peer at a time until enough have answered.
func (f *Fleet) queryPeer(now int64) {
	l := &f.learner
	if !f.Learning(now) || now < l.queryAt {
		return
	}
	l.queryAt = now + queryInterval
	// Members that are known to have started at about the same time have nothing to report.
	target := f.randomMember(0, f.cfg.Members, func(i int) bool {
		m := f.swim.Member(i)
		return i != f.cfg.Index && !l.queried[i] && m.Alive() &&
			!(m.Known && m.Incarnation>>8 != 0 && int64(m.Incarnation>>8)*ms > f.startedAt()-minAnswererAge)
	})
	if target < 0 {
		clear(l.queried) // all were queried; some may not have received it
		return
	}
	l.queried[target] = true
	l.queriesSent++
	d, _ := f.swim.Datagram(peer.Query)
	f.actions = append(f.actions, Action{Kind: Send, To: target, Datagram: d, due: true})
}

// startedAt is this process's start by wall time, as encoded in its incarnation.
func (f *Fleet) startedAt() int64 { return int64(f.swim.Incarnation()>>8) * ms }

// receiveLearning handles queries and answers about servers.
func (f *Fleet) receiveLearning(d *peer.Datagram, now int64) {
	l := &f.learner
	if f.cfg.Learn == nil || d.From == f.cfg.Index || d.From >= f.cfg.Members {
		return
	}
	switch d.Kind {
	case peer.Query:
		l.answerTokens.fill(answerFraction*f.cfg.DatagramsPerSecond, f.cfg.DatagramsPerSecond, now)
		if (now-l.startedAt >= minAnswererAge || l.newestKeys[d.From] > 0) && l.answerTokens.tokens >= 1 {
			l.answerTokens.tokens--
			f.actions = append(f.actions, Action{Kind: AnswerQuery, To: d.From})
		}
	case peer.Answer:
		if now >= l.until {
			return
		}
		l.answersReceived++
		l.reportedKey = max(l.reportedKey, d.NewestKey)
		i := slices.IndexFunc(l.reports, func(t warmstart.PeerReport) bool { return t.Member == d.From })
		if i < 0 {
			i = len(l.reports)
			l.reports = append(l.reports, warmstart.PeerReport{Member: d.From})
		}
		for _, b := range d.Beliefs {
			id := f.reports.idOf(b.Server)
			if id == "" || peer.Nanoseconds(b.Age) > maxObservationAge {
				continue
			}
			l.reports[i].Beliefs = append(l.reports[i].Beliefs, warmstart.Belief{HeardAt: now, StartTime: b.Since,
				Server: balance.ServerSnapshot{ID: id,
					Health: float64(b.Health) / 100, EjectionLeft: peer.Nanoseconds(b.EjectionLeft),
					Draining: b.Draining, LastOutcomeAge: peer.Nanoseconds(b.Age)}})
		}
		if len(l.reports[i].Beliefs) > len(f.servers) { // the peer reported some servers more than once
			l.reports[i].Beliefs = l.reports[i].Beliefs[len(l.reports[i].Beliefs)-len(f.servers):]
		}
		f.actions = append(f.actions, Action{Kind: ApplyPeerReports, Reports: slices.Clone(l.reports)})
	default:
		if d.NewestKey > l.newestKeys[d.From] {
			l.newestKeys[d.From] = d.NewestKey
		}
	}
}

// SendBeliefs answers a query with what this process has observed itself. Ejected and draining servers come first,
// then unhealthy ones.
func (f *Fleet) SendBeliefs(to int, servers []balance.ServerSnapshot, now int64) {
	observed := slices.DeleteFunc(slices.Clone(servers), func(server balance.ServerSnapshot) bool {
		return now-f.learner.startedAt < minAnswererAge ||
			!server.Draining && (server.LastOutcomeAge < 0 || server.LastOutcomeAge > maxObservationAge ||
				server.EjectionLeft == 0 && server.Health > healthyAbove)
	})
	slices.SortStableFunc(observed,
		func(x, y balance.ServerSnapshot) int { return beliefPriority(x) - beliefPriority(y) })
	f.learner.answersSent++
	for sent := false; len(observed) > 0 || !sent; sent = true {
		d, room := f.swim.Datagram(peer.Answer)
		if newestKey := f.learner.newestKeys[to]; newestKey > 0 && room.NewestKey() {
			d.NewestKey = newestKey
		}
		for len(observed) > 0 && room.Belief() {
			server := observed[0]
			observed = observed[1:]
			d.Beliefs = append(d.Beliefs, peer.Belief{Server: peer.ServerHash(server.ID),
				Since: peer.StartTime(server.Since), Health: uint8(100 * min(1, max(0, server.Health))),
				EjectionLeft: uint16(min(server.EjectionLeft/1e7, 1<<16-1)), Draining: server.Draining,
				Age: peer.Hundredths(max(0, server.LastOutcomeAge))})
		}
		f.actions = append(f.actions, Action{Kind: Send, To: to, Datagram: d, due: !sent})
	}
}

func beliefPriority(server balance.ServerSnapshot) int {
	switch {
	case server.Draining:
		return 0
	case server.EjectionLeft > 0:
		return 1
	}
	return 2
}

// addNewestKey adds the time of the newest idempotency key. If this process loses its ledger, peers know that such
// keys existed.
func (f *Fleet) addNewestKey(d *peer.Datagram, room *peer.Room) {
	if f.cfg.Learn != nil && f.learner.ownKey > 0 && room.NewestKey() {
		d.NewestKey = f.learner.ownKey
	}
}

// RecordKey records the start of an idempotency key, in Unix ns.
func (f *Fleet) RecordKey(startedAt int64) {
	f.learner.ownKey = max(f.learner.ownKey, uint64(startedAt/ms))
}

// ReportedKey returns the start, in Unix ns, of the newest key that peers remember from an earlier process of this
// member, and whether any peer has answered.
func (f *Fleet) ReportedKey() (newest int64, heard bool) {
	return int64(f.learner.reportedKey) * ms, f.learner.answersReceived > 0
}

// LearnCounts returns how often this member has queried, was answered and has answered.
func (f *Fleet) LearnCounts() (queries, received, sent int) {
	return f.learner.queriesSent, f.learner.answersReceived, f.learner.answersSent
}
