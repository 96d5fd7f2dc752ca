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
	askEvery  = 100 * ms // between questions to one other each
	oldEnough = 5 * sec  // of life from which a member teaches: before, it has met too little
	metFor    = 30 * sec // what was met longer ago is not taught
	teachPart = 0.25     // of its datagrams a second that a member teaches with, and a second's worth of all at once
	worthTold = 0.9      // a server in use with more health than this is told of last
)

// Learn is what operators set on learning from others.
type LearnConfig struct {
	MinPeers int   // that have to answer
	Timeout  int64 // for so long after the start they are asked
}

// learn is what a member has asked and heard, and how much it may still teach.
type learn struct {
	until  int64
	askAt  int64
	asked  []bool                 // by place
	told   []warmstart.PeerReport // by who tells; emptied when the time is over
	taught bucket                 // answers that may go now
	marks  []uint64               // by place: Unix ms of the newest idempotency key that it has told of
	Mark   uint64                 // the own one
	Found  uint64                 // the newest that another has heard from this place before
	begun  int64
	Asked  int // questions asked
	Taught int // answers given
	Heard  int // answers that came
}

func begin(t Config, now int64) learn {
	x := learn{begun: now}
	if t.Learn != nil {
		x.until, x.asked, x.marks, x.taught = now+t.Learn.Timeout, make([]bool, t.Members), make([]uint64, t.Members), bucket{t.DatagramsPerSecond, now}
	}
	return x
}

// Learns says whether answers are still waited for.
func (f *Fleet) Learning(now int64) bool {
	return f.t.Learn != nil && now < f.learn.until && len(f.learn.told) < f.t.Learn.MinPeers
}

// ask asks one other, until enough have answered.
func (f *Fleet) ask(now int64) {
	x := &f.learn
	if !f.Learning(now) || now < x.askAt {
		return
	}
	x.askAt = now + askEvery
	// Who is known to have begun about now knows nothing either.
	who := f.oneThat(0, f.t.Members, func(i int) bool {
		m := f.swim.Member(i)
		return i != f.t.Index && !x.asked[i] && m.Alive() && !(m.Known && m.Incarnation>>8 != 0 && int64(m.Incarnation>>8)*ms > f.startedAt()-oldEnough)
	})
	if who < 0 {
		clear(x.asked) // all were: some may not have heard
		return
	}
	x.asked[who] = true
	x.Asked++
	d, _ := f.swim.Datagram(peer.Query)
	f.todo = append(f.todo, Action{Kind: Send, To: who, Datagram: d, due: true})
}

// startedAt is this process's start by the clock of the day, as lives have it.
func (f *Fleet) startedAt() int64 { return int64(f.swim.Incarnation()>>8) * ms }

// lesson takes what a datagram asks or answers about servers.
func (f *Fleet) lesson(d *peer.Datagram, now int64) {
	x := &f.learn
	if f.t.Learn == nil || d.From == f.t.Index || d.From >= f.t.Members {
		return
	}
	switch d.Kind {
	case peer.Query:
		x.taught.fill(teachPart*f.t.DatagramsPerSecond, f.t.DatagramsPerSecond, now)
		if (now-x.begun >= oldEnough || x.marks[d.From] > 0) && x.taught.n >= 1 {
			x.taught.n--
			f.todo = append(f.todo, Action{Kind: AnswerQuery, To: d.From})
		}
	case peer.Answer:
		if now >= x.until {
			return
		}
		x.Heard++
		x.Found = max(x.Found, d.NewestKey)
		i := slices.IndexFunc(x.told, func(t warmstart.PeerReport) bool { return t.Member == d.From })
		if i < 0 {
			i = len(x.told)
			x.told = append(x.told, warmstart.PeerReport{Member: d.From})
		}
		for _, b := range d.Beliefs {
			id := f.wary.id(b.Server)
			if id == "" || peer.Nanoseconds(b.Age) > metFor {
				continue
			}
			x.told[i].Beliefs = append(x.told[i].Beliefs, warmstart.Belief{HeardAt: now, Start: b.Since, Server: balance.ServerSnapshot{ID: id,
				Health: float64(b.Health) / 100, EjectionLeft: peer.Nanoseconds(b.EjectionLeft), Draining: b.Draining, LastOutcomeAge: peer.Nanoseconds(b.Age)}})
		}
		if len(x.told[i].Beliefs) > len(f.servers) { // it said some things twice
			x.told[i].Beliefs = x.told[i].Beliefs[len(x.told[i].Beliefs)-len(f.servers):]
		}
		f.todo = append(f.todo, Action{Kind: ApplyPeerReports, Reports: slices.Clone(x.told)})
	default:
		if d.NewestKey > x.marks[d.From] {
			x.marks[d.From] = d.NewestKey
		}
	}
}

// Answer tells one that comes back what this process has met itself: what is out or drains first, then what is unwell.
func (f *Fleet) SendBeliefs(to int, servers []balance.ServerSnapshot, now int64) {
	met := slices.DeleteFunc(slices.Clone(servers), func(l balance.ServerSnapshot) bool {
		return now-f.learn.begun < oldEnough || !l.Draining && (l.LastOutcomeAge < 0 || l.LastOutcomeAge > metFor || l.EjectionLeft == 0 && l.Health > worthTold)
	})
	slices.SortStableFunc(met, func(x, y balance.ServerSnapshot) int { return rank(x) - rank(y) })
	f.learn.Taught++
	for begun := false; len(met) > 0 || !begun; begun = true {
		d, room := f.swim.Datagram(peer.Answer)
		if mark := f.learn.marks[to]; mark > 0 && room.NewestKey() {
			d.NewestKey = mark
		}
		for len(met) > 0 && room.Belief() {
			l := met[0]
			met = met[1:]
			d.Beliefs = append(d.Beliefs, peer.Belief{Server: peer.ServerHash(l.ID), Since: peer.StartTime(l.Since), Health: uint8(100 * min(1, max(0, l.Health))),
				EjectionLeft: uint16(min(l.EjectionLeft/1e7, 1<<16-1)), Draining: l.Draining, Age: peer.Hundredths(max(0, l.LastOutcomeAge))})
		}
		f.todo = append(f.todo, Action{Kind: Send, To: to, Datagram: d, due: !begun})
	}
}

func rank(l balance.ServerSnapshot) int {
	switch {
	case l.Draining:
		return 0
	case l.EjectionLeft > 0:
		return 1
	}
	return 2
}

// mark adds how new the newest idempotency key is: should this process lose its ledger, others know that there were such.
func (f *Fleet) mark(d *peer.Datagram, room *peer.Room) {
	if f.t.Learn != nil && f.learn.Mark > 0 && room.NewestKey() {
		d.NewestKey = f.learn.Mark
	}
}

// Keyed tells of an idempotency key's beginning, in Unix ns.
func (f *Fleet) RecordKey(at int64) { f.learn.Mark = max(f.learn.Mark, uint64(at/ms)) }

// Witnessed is the beginning of the newest key, in Unix ns, that others have heard this place tell of before it began anew; and whether
// anybody has answered.
func (f *Fleet) ReportedKey() (newest int64, heard bool) {
	return int64(f.learn.Found) * ms, f.learn.Heard > 0
}

// Lessons is how often this member has asked, was answered and has answered.
func (f *Fleet) LearnCounts() (asked, answers, taught int) {
	return f.learn.Asked, f.learn.Heard, f.learn.Taught
}
