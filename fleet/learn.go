package fleet

// This file owns what a member that has just begun asks of those that live longer, and what these tell it. It must never teach what was
// not met in this life, nor let askers have more than their part of what a member may send.

import (
	"slices"

	"ivybank/balance"
	"ivybank/fleet/peer"
	"ivybank/fleet/warmstart"
)

const (
	queryInterval     = 100 * ms // between questions to one other each
	minTeacherAge     = 5 * sec  // of life from which a member teaches: before, it has met too little
	maxObservationAge = 30 * sec // what was met longer ago is not taught
	answerFraction    = 0.25     // of its datagrams a second that a member teaches with, and a second's worth of all at once
	healthyAbove      = 0.9      // a server in use with more health than this is told of last
)

// Learn is what operators set on learning from others.
type LearnConfig struct {
	MinPeers int   // that have to answer
	Timeout  int64 // for so long after the start they are asked
}

// learn is what a member has asked and heard, and how much it may still teach.
type learner struct {
	until           int64
	queryAt         int64
	queried         []bool                 // by place
	reports         []warmstart.PeerReport // by who tells; emptied when the time is over
	answerTokens    tokenBucket            // answers that may go now
	newestKeys      []uint64               // by place: Unix ms of the newest idempotency key that it has told of
	ownKey          uint64                 // the own one
	reportedKey     uint64                 // the newest that another has heard from this place before
	startedAt       int64
	queriesSent     int // questions asked
	answersSent     int // answers given
	answersReceived int // answers that came
}

func newLearner(cfg Config, now int64) learner {
	l := learner{startedAt: now}
	if cfg.Learn != nil {
		l.until, l.queried, l.newestKeys, l.answerTokens = now+cfg.Learn.Timeout, make([]bool, cfg.Members), make([]uint64, cfg.Members), tokenBucket{cfg.DatagramsPerSecond, now}
	}
	return l
}

// Learns says whether answers are still waited for.
func (f *Fleet) Learning(now int64) bool {
	return f.cfg.Learn != nil && now < f.learner.until && len(f.learner.reports) < f.cfg.Learn.MinPeers
}

// ask asks one other, until enough have answered.
func (f *Fleet) queryPeer(now int64) {
	l := &f.learner
	if !f.Learning(now) || now < l.queryAt {
		return
	}
	l.queryAt = now + queryInterval
	// Who is known to have begun about now knows nothing either.
	target := f.randomMember(0, f.cfg.Members, func(i int) bool {
		m := f.swim.Member(i)
		return i != f.cfg.Index && !l.queried[i] && m.Alive() && !(m.Known && m.Incarnation>>8 != 0 && int64(m.Incarnation>>8)*ms > f.startedAt()-minTeacherAge)
	})
	if target < 0 {
		clear(l.queried) // all were: some may not have heard
		return
	}
	l.queried[target] = true
	l.queriesSent++
	d, _ := f.swim.Datagram(peer.Query)
	f.actions = append(f.actions, Action{Kind: Send, To: target, Datagram: d, due: true})
}

// startedAt is this process's start by the clock of the day, as lives have it.
func (f *Fleet) startedAt() int64 { return int64(f.swim.Incarnation()>>8) * ms }

// lesson takes what a datagram asks or answers about servers.
func (f *Fleet) receiveLearning(d *peer.Datagram, now int64) {
	l := &f.learner
	if f.cfg.Learn == nil || d.From == f.cfg.Index || d.From >= f.cfg.Members {
		return
	}
	switch d.Kind {
	case peer.Query:
		l.answerTokens.fill(answerFraction*f.cfg.DatagramsPerSecond, f.cfg.DatagramsPerSecond, now)
		if (now-l.startedAt >= minTeacherAge || l.newestKeys[d.From] > 0) && l.answerTokens.tokens >= 1 {
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
			l.reports[i].Beliefs = append(l.reports[i].Beliefs, warmstart.Belief{HeardAt: now, StartTime: b.Since, Server: balance.ServerSnapshot{ID: id,
				Health: float64(b.Health) / 100, EjectionLeft: peer.Nanoseconds(b.EjectionLeft), Draining: b.Draining, LastOutcomeAge: peer.Nanoseconds(b.Age)}})
		}
		if len(l.reports[i].Beliefs) > len(f.servers) { // it said some things twice
			l.reports[i].Beliefs = l.reports[i].Beliefs[len(l.reports[i].Beliefs)-len(f.servers):]
		}
		f.actions = append(f.actions, Action{Kind: ApplyPeerReports, Reports: slices.Clone(l.reports)})
	default:
		if d.NewestKey > l.newestKeys[d.From] {
			l.newestKeys[d.From] = d.NewestKey
		}
	}
}

// Answer tells one that comes back what this process has met itself: what is out or drains first, then what is unwell.
func (f *Fleet) SendBeliefs(to int, servers []balance.ServerSnapshot, now int64) {
	observed := slices.DeleteFunc(slices.Clone(servers), func(server balance.ServerSnapshot) bool {
		return now-f.learner.startedAt < minTeacherAge || !server.Draining && (server.LastOutcomeAge < 0 || server.LastOutcomeAge > maxObservationAge || server.EjectionLeft == 0 && server.Health > healthyAbove)
	})
	slices.SortStableFunc(observed, func(x, y balance.ServerSnapshot) int { return beliefPriority(x) - beliefPriority(y) })
	f.learner.answersSent++
	for sent := false; len(observed) > 0 || !sent; sent = true {
		d, room := f.swim.Datagram(peer.Answer)
		if newestKey := f.learner.newestKeys[to]; newestKey > 0 && room.NewestKey() {
			d.NewestKey = newestKey
		}
		for len(observed) > 0 && room.Belief() {
			server := observed[0]
			observed = observed[1:]
			d.Beliefs = append(d.Beliefs, peer.Belief{Server: peer.ServerHash(server.ID), Since: peer.StartTime(server.Since), Health: uint8(100 * min(1, max(0, server.Health))),
				EjectionLeft: uint16(min(server.EjectionLeft/1e7, 1<<16-1)), Draining: server.Draining, Age: peer.Hundredths(max(0, server.LastOutcomeAge))})
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

// mark adds how new the newest idempotency key is: should this process lose its ledger, others know that there were such.
func (f *Fleet) addNewestKey(d *peer.Datagram, room *peer.Room) {
	if f.cfg.Learn != nil && f.learner.ownKey > 0 && room.NewestKey() {
		d.NewestKey = f.learner.ownKey
	}
}

// Keyed tells of an idempotency key's beginning, in Unix ns.
func (f *Fleet) RecordKey(startedAt int64) {
	f.learner.ownKey = max(f.learner.ownKey, uint64(startedAt/ms))
}

// Witnessed is the beginning of the newest key, in Unix ns, that others have heard this place tell of before it began anew; and whether
// anybody has answered.
func (f *Fleet) ReportedKey() (newest int64, heard bool) {
	return int64(f.learner.reportedKey) * ms, f.learner.answersReceived > 0
}

// Lessons is how often this member has asked, was answered and has answered.
func (f *Fleet) LearnCounts() (asked, answers, taught int) {
	return f.learner.queriesSent, f.learner.answersReceived, f.learner.answersSent
}
