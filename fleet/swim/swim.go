// Package swim says who is a member of the fleet: SWIM (Das, Gupta, Motivala, 2002) with Lifeguard's local health (Dadgar,
// Phillips, Currey, 2018), free of I/O. It is handed datagrams and the time, and hands out datagrams. It owns the table of
// members. It must never let what it says of a member hold up a req, nor declare one dead that it has just heard.
package swim

import (
	"math"
	"slices"

	"ivybank/fleet/peer"
	"ivybank/internal/rng"
)

const (
	ms, sec = int64(1e6), int64(1e9)

	helpers     = 3  // members asked to ping on one's behalf
	confirmers  = 2  // further members whose suspicion brings the death forward to its least time
	spread      = 3  // a piece of news goes out so many times the logarithm of the members
	mostHealth  = 6  // steps by which trouble of one's own lengthens one's waits
	knock       = 4  // every so many periods one who is not a member is pinged
	manyAway    = 20 // where more than one in so many is away one of them is pinged each period: a partition may be over
	newsEach    = 3  // pieces of news in an answer or a question
	remindApart = 1 * sec
	farewells   = 2                                       // times that each of a few is told of the end
	verdict     = 3                                       // waits from a ping until the one is suspected
	lateTick    = 30 * ms                                 // a tick later than this is time in which this process did not run
	maxQuiet    = 600 * sec                               // silences longer than this are told as this
	window      = 64                                      // datagrams of one life that may come out of order
	tickEvery   = 50 * ms                                 // between looks at what is due
	crowd       = 1.2                                     // logarithm, to 10, of the members from which patience grows
	lostNews    = 8                                       // pieces of news that one member's word may add in one datagram
	longAgo     = -1 << 62                                // before anything was heard
	fewMembers  = 16                                      // so few tell all others of their end
	lifeSpan    = 1000 * 3600 * 24 * 365 * 10 << lifeBits // past this one's own start no life can be
)

// Terms is what a member is told of the fleet. Times are nanoseconds.
type Config struct {
	Index, Members int   // own place, places in all
	Period         int64 // between pings
	AckTimeout     int64 // for an answer, directly and by way of others
	MinSilence     int64 // nobody is dead who was heard within so long
	Seed           uint64
}

// Member is what is known of one.
type Member struct {
	Known       bool // was heard of since this process's start; else it is presumed to be there, as it is configured
	State       peer.State
	Incarnation uint64
	Since       int64 // when it came to its state
	LastHeard   int64 // latest sign of its life that this process has had
	SuspectedBy int   // who suspected it first
}

// Alive says whether it takes part. A suspect does, until it is dead.
func (m Member) Alive() bool { return !m.Known || m.State <= peer.Suspect }

type member struct {
	Member
	doubts   []int  // who suspects it; emptied with the suspicion
	told     int    // times that its news went out
	fresh    bool   // its news has not gone out often enough
	start    uint64 // of the process whose datagrams are counted; its life may be known from others before it is heard
	count    uint64 // newest datagram of that,
	reminded int64  // when it was last told what is said of it
	seen     uint64 // and which of those before it came, as bits
}

// ping is one that waits for its answer.
type ping struct {
	seq   uint32
	who   int
	at    int64
	asked bool // helpers were asked
	nacks int  // of them, who has answered that there is no answer
	back  int  // pinged for another: who; -1 for oneself
	seqOf uint32
}

// Send is a datagram for a member.
type Send struct {
	To int
	peer.Datagram
}

// Change is one that came to another state.
type Change struct {
	Who  int
	From string // "" where it was not known
	To   peer.State
	By   int
	At   int64
}

// Swim is one member's view of all.
type Membership struct {
	t       Config
	life    uint64
	members []member // one for each place
	order   []int    // in which they are pinged; drawn anew when it is through
	next    int
	pings   []ping // emptied as they are answered or over
	out     []Send // emptied by Out
	changes []Change
	fresh   []int // members whose news has not gone out often enough; emptied as it does
	doubted []int // suspects; emptied as they are cleared or dead
	dice    rng.Source
	seq     uint32
	count   uint64
	pingAt  int64
	ticked  int64
	health  int // 0: well; how much longer this process waits as it seems to be slow itself
	periods int
	left    bool
	version int // counts changes of who is alive
	alive   int
	Away    int64 // time in which this process did not run, as far as it noticed
	Dropped struct{ Twice, Past, Nobody int }
}

// New begins a life. Who is configured is presumed to be there, and found missing by the same pings as any.
func New(t Config, life uint64, now int64) *Membership {
	s := &Membership{t: t, life: life, members: make([]member, t.Members), dice: rng.Source{Seed: t.Seed}, ticked: now}
	s.pingAt = now + int64(s.dice.Next()*float64(t.Period))
	for i := range s.members {
		s.members[i].LastHeard = longAgo
	}
	s.members[t.Index] = member{Member: Member{Known: true, Incarnation: life, Since: now, LastHeard: now}}
	s.rouse(t.Index)
	s.alive = t.Members
	return s
}

// Life is this process's, higher each time that it had to refute.
func (s *Membership) Incarnation() uint64 { return s.life }

// Health is how slow this process takes itself to be, 0 for not at all.
func (s *Membership) Health() int { return s.health }

// Version changes whenever somebody comes to be alive or no longer is.
func (s *Membership) Version() int { return s.version }

// Count is how many are alive, this one included.
func (s *Membership) AliveCount() int { return s.alive }

// Member is what is known of a place.
func (s *Membership) Member(i int) Member { return s.members[i].Member }

// Alive says whether a place's member takes part.
func (s *Membership) Alive(i int) bool { return s.members[i].Alive() }

// Living are the places of all that take part, in order.
func (s *Membership) AliveMembers() (all []int) {
	for i := range s.members {
		if s.members[i].Alive() {
			all = append(all, i)
		}
	}
	return all
}

// Out hands over what is to be sent; Changes who came to another state. Both begin anew with it.
func (s *Membership) Out() []Send {
	out := s.out
	s.out = nil
	return out
}

// Changes hands over who came to another state since the last call.
func (s *Membership) Changes() []Change {
	c := s.changes
	s.changes = nil
	return c
}

// Datagram begins one of this life, which carries nothing yet.
func (s *Membership) Datagram(k peer.Kind) (peer.Datagram, peer.Room) {
	s.count++
	return peer.Datagram{From: s.t.Index, Incarnation: s.life, Number: s.count, Kind: k}, peer.FullRoom()
}

// Tell adds so many pieces of news at the most, those that went out least often. The table of members is also that of news: each has one.
func (s *Membership) Tell(d *peer.Datagram, room *peer.Room, n int) {
	slices.SortStableFunc(s.fresh, func(x, y int) int { return s.members[x].told - s.members[y].told })
	most := int(math.Ceil(spread * math.Log2(float64(s.alive)+1)))
	for _, i := range s.fresh {
		if n--; n < 0 || !room.MemberUpdate() {
			break
		}
		d.Updates = append(d.Updates, s.news(i))
		s.members[i].told++
	}
	s.fresh = slices.DeleteFunc(s.fresh, func(i int) bool {
		m := &s.members[i]
		m.fresh = m.told < most
		return !m.fresh
	})
}

func (s *Membership) news(i int) peer.MemberUpdate {
	m := &s.members[i]
	n := peer.MemberUpdate{Member: i, State: m.State, Incarnation: m.Incarnation, Origin: m.SuspectedBy}
	if m.State == peer.Suspect {
		n.Silence = peer.Hundredths(min(maxQuiet, s.ticked-m.LastHeard))
	}
	return n
}

func (s *Membership) send(to int, k peer.Kind, seq uint32, about int) {
	d, room := s.Datagram(k)
	d.Seq, d.Subject = seq, about
	s.Tell(&d, &room, newsEach)
	s.out = append(s.out, Send{to, d})
}

// Fresh says whether a datagram is a member's, of its present life and not met before; else it is to be dropped and says nothing.
func (s *Membership) Fresh(d *peer.Datagram) bool {
	if d.From >= s.t.Members || d.From == s.t.Index || d.Incarnation > s.life+lifeSpan {
		s.Dropped.Nobody++
		return false
	}
	m := &s.members[d.From]
	switch {
	case m.Known && (d.Incarnation>>lifeBits < m.Incarnation>>lifeBits || m.State == peer.Left && d.Incarnation <= m.Incarnation):
		s.Dropped.Past++
		if d.Kind == peer.Ping {
			// One whose clock was set back begins with a life that is past. It is told, and takes a later one.
			s.remind(d.From, s.news(d.From))
		}
		return false
	case d.Incarnation>>lifeBits > m.start:
		m.start, m.count, m.seen = d.Incarnation>>lifeBits, 0, 0
	case d.Incarnation>>lifeBits < m.start:
		s.Dropped.Past++
		return false
	}
	switch past := m.count - d.Number; {
	case d.Number > m.count:
		if ahead := d.Number - m.count; ahead < window {
			m.seen = m.seen<<ahead | 1
		} else {
			m.seen = 1
		}
		m.count = d.Number
	case past >= window:
		s.Dropped.Past++
		return false
	case m.seen&(1<<past) != 0:
		s.Dropped.Twice++
		return false
	default:
		m.seen |= 1 << past
	}
	return true
}

// lifeBits of a life count refutations, the others the start. A life handed to New holds the start alone.
const lifeBits = 8

// LifeOf is the life of a process that starts at a clock time.
func IncarnationAt(unixNs int64) uint64 { return uint64(max(1, unixNs/ms)) << lifeBits }

// After is the least life of a process that begins after one of a life.
func NextIncarnation(life uint64) uint64 { return (life>>lifeBits + 1) << lifeBits }

// Heard takes a fresh datagram.
func (s *Membership) Heard(d *peer.Datagram, now int64) {
	m := &s.members[d.From]
	m.LastHeard = now
	switch {
	case d.Kind == peer.Leave:
		s.become(d.From, peer.Left, d.Incarnation, d.From, now)
		return
	case !m.Known || d.Incarnation > m.Incarnation:
		s.become(d.From, peer.Alive, d.Incarnation, d.From, now)
	case m.State == peer.Dead || m.State == peer.Suspect:
		// What was just heard lives, whatever is said. It is told what is said of it, so that it can refute that to all.
		s.rouse(d.From)
		n := s.news(d.From)
		if m.State == peer.Dead {
			s.become(d.From, peer.Suspect, m.Incarnation, m.SuspectedBy, now)
		}
		if d.Kind != peer.Ping {
			s.remind(d.From, n)
		}
	}
	for _, n := range d.Updates[:min(len(d.Updates), lostNews)] {
		s.learn(n, now)
	}
	switch d.Kind {
	case peer.Ping:
		s.send(d.From, peer.Ack, d.Seq, s.t.Index)
	case peer.Ack, peer.Nack:
		s.answered(d, now)
	case peer.PingRequest:
		if d.Subject < s.t.Members && d.Subject != s.t.Index {
			s.ping(d.Subject, d.From, d.Seq, now)
		}
	}
}

// remind tells a member what is said of it.
func (s *Membership) remind(who int, n peer.MemberUpdate) {
	m := &s.members[who]
	if s.ticked-m.reminded < remindApart {
		return
	}
	m.reminded = s.ticked
	d, _ := s.Datagram(peer.Push)
	d.Updates = []peer.MemberUpdate{n}
	s.out = append(s.out, Send{who, d})
}

// answered ends a ping, or passes its answer on to the one on whose behalf it was.
func (s *Membership) answered(d *peer.Datagram, now int64) {
	i := slices.IndexFunc(s.pings, func(p ping) bool { return p.seq == d.Seq })
	if i < 0 {
		return
	}
	p := &s.pings[i]
	if d.Kind == peer.Nack {
		p.nacks++
		return
	}
	if d.Subject != p.who {
		return
	}
	if s.members[p.who].Known {
		s.members[p.who].LastHeard = now // by way of another
	}
	if p.back >= 0 {
		s.send(p.back, peer.Ack, p.seqOf, p.who)
	} else {
		s.health = max(0, s.health-1)
	}
	s.pings = slices.Delete(s.pings, i, i+1)
}

func (s *Membership) ping(who, back int, seqOf uint32, now int64) {
	s.seq++
	s.pings = append(s.pings, ping{seq: s.seq, who: who, at: now, back: back, seqOf: seqOf})
	if m := &s.members[who]; m.Known && m.State != peer.Alive {
		s.rouse(who) // it is told, to refute
	}
	s.send(who, peer.Ping, s.seq, who)
}

// learn takes one piece of news.
func (s *Membership) learn(n peer.MemberUpdate, now int64) {
	if n.Member >= s.t.Members || n.Origin >= s.t.Members || n.Incarnation > s.life+lifeSpan {
		return
	}
	if n.Member == s.t.Index {
		if n.Incarnation >= s.life && (n.State != peer.Alive || n.Incarnation > s.life) && !s.left {
			// Refuted by the living. Being suspected is a sign of being slow oneself; a life beyond one's own is an earlier process's
			// whose clock was ahead.
			if n.State == peer.Suspect {
				s.health = min(mostHealth, s.health+1)
			}
			s.life = n.Incarnation + 1
			s.members[s.t.Index].Incarnation = s.life
			s.rouse(s.t.Index)
		}
		return
	}
	m := &s.members[n.Member]
	sign := now - peer.Nanoseconds(n.Silence) // latest sign of life that By had
	switch {
	case !m.Known:
		m.LastHeard = max(m.LastHeard, sign)
		s.become(n.Member, n.State, n.Incarnation, n.Origin, now)
	case n.Incarnation < m.Incarnation || n.Incarnation == m.Incarnation && n.State < m.State:
	case n.State == peer.Suspect && m.State == peer.Suspect && n.Incarnation == m.Incarnation:
		m.LastHeard = max(m.LastHeard, sign)
		s.doubt(n.Member, n.Origin)
	case n.Incarnation == m.Incarnation && n.State == m.State:
	case n.State == peer.Suspect:
		heard := m.LastHeard
		m.LastHeard = max(m.LastHeard, sign)
		s.become(n.Member, n.State, n.Incarnation, n.Origin, now)
		if quiet := now - heard; quiet > s.t.MinSilence/2 && quiet < 2*s.t.MinSilence {
			s.doubt(n.Member, s.t.Index) // it used to be heard here, and is not
		}
		s.look(n.Member)
	case n.State == peer.Dead && now-m.LastHeard < s.t.MinSilence/2:
		// It was heard here just now: one that others cannot reach is not dead. It is told, and refutes.
		if n.Incarnation > m.Incarnation {
			s.become(n.Member, peer.Alive, n.Incarnation, n.Origin, now)
		}
		s.look(n.Member)
	default:
		if n.State == peer.Alive {
			m.LastHeard = max(m.LastHeard, now-s.t.MinSilence/2) // it lived a while ago
		}
		s.become(n.Member, n.State, n.Incarnation, n.Origin, now)
	}
}

// look has one pinged next.
func (s *Membership) look(who int) {
	if i := slices.Index(s.order, who); i > s.next {
		s.order[s.next], s.order[i] = s.order[i], s.order[s.next]
	} else if i < 0 || i < s.next {
		s.order = slices.Insert(s.order, s.next, who)
	}
}

// doubt adds one more who suspects a member.
func (s *Membership) doubt(who, by int) {
	m := &s.members[who]
	if !slices.Contains(m.doubts, by) && len(m.doubts) <= confirmers {
		m.doubts = append(m.doubts, by)
		m.SuspectedBy = by
		s.rouse(who) // passed on, as it is further evidence
	}
}

// rouse has a member's news go out again.
func (s *Membership) rouse(i int) {
	if m := &s.members[i]; !m.fresh {
		m.fresh = true
		s.fresh = append(s.fresh, i)
	}
	s.members[i].told = 0
}

// become brings a member to a state.
func (s *Membership) become(i int, state peer.State, life uint64, by int, now int64) {
	m := &s.members[i]
	was, from, presumed := m.Alive(), "", !m.Known
	if m.Known {
		from = StateName(m.State)
	}
	if !m.Known || m.State != state {
		m.Since = now
		s.changes = append(s.changes, Change{i, from, state, by, now})
	}
	if life>>lifeBits > m.Incarnation>>lifeBits && m.Known {
		s.version++ // another process at the same place
	}
	m.Known, m.State, m.Incarnation, m.SuspectedBy, m.doubts = true, state, life, by, nil
	if state == peer.Suspect {
		m.doubts = []int{by}
		if quiet := now - m.LastHeard; by == s.t.Index && quiet > 2*s.t.MinSilence {
			m.LastHeard = now - verdict*s.t.AckTimeout // it was not heard here for long anyway: its silence counts from the ping
		}
		if !slices.Contains(s.doubted, i) {
			s.doubted = append(s.doubted, i)
		}
	}
	if !presumed || state != peer.Alive { // that one is there who is configured is no news
		s.rouse(i)
	}
	if m.Alive() != was {
		s.version++
		if was {
			s.alive--
		} else {
			s.alive++
			s.look(i)
		}
	}
}

// Tick does what is due and says when to come again. It is to be called often: a tick that comes late shows that this process did
// not run meanwhile, and then nobody else's silence counts.
func (s *Membership) Tick(now int64) (next int64) {
	if away := now - s.ticked - tickEvery; away > lateTick {
		s.stood(away, now)
	}
	away := now - s.ticked - tickEvery
	s.ticked = now
	if away > s.t.MinSilence/3 { // some may doubt by now that this process lives: it shows at once that it does
		for _, to := range s.some(fewMembers, -1) {
			s.ping(to, -1, 0, now)
		}
	}
	s.overdue(now)
	s.bury(now)
	if now >= s.pingAt && !s.left {
		s.pingAt = now + s.wait(s.t.Period)
		s.round(now)
	}
	return now + tickEvery
}

// stood takes account of time in which this process did not run.
func (s *Membership) stood(away, now int64) {
	s.Away += away
	s.health = min(mostHealth, s.health+1)
	for i := range s.members {
		if m := &s.members[i]; m.LastHeard > longAgo {
			m.LastHeard = min(now, m.LastHeard+away)
		}
	}
	for i := range s.pings {
		s.pings[i].at = min(now, s.pings[i].at+away)
	}
}

// wait lengthens a time while this process seems to be slow itself.
func (s *Membership) wait(t int64) int64 { return t + t*int64(s.health)/2 }

// round pings the next in order.
func (s *Membership) round(now int64) {
	s.periods++
	if s.periods%knock == 0 || s.alive == 1 || s.t.Members-s.alive > s.t.Members/manyAway {
		s.knockAtOne(now)
	}
	for range len(s.order) + 2 {
		if s.next >= len(s.order) {
			s.order, s.next = s.AliveMembers(), 0
			s.shuffle(s.order)
		}
		if len(s.order) == 0 {
			return
		}
		who := s.order[s.next]
		s.next++
		if who != s.t.Index && s.members[who].Alive() {
			s.ping(who, -1, 0, now)
			return
		}
	}
}

// knockAtOne pings one that is not a member: it may have come, or be on this side again after a partition.
func (s *Membership) knockAtOne(now int64) {
	var away []int
	for i := range s.members {
		if i != s.t.Index && !s.members[i].Alive() {
			away = append(away, i)
		}
	}
	if len(away) > 0 {
		s.ping(away[int(s.dice.Next()*float64(len(away)))], -1, 0, now)
	}
}

func (s *Membership) shuffle(x []int) {
	for i := len(x) - 1; i > 0; i-- {
		j := int(s.dice.Next() * float64(i+1))
		x[i], x[j] = x[j], x[i]
	}
}

// some draws members that take part, other than two.
func (s *Membership) some(n, but int) []int {
	all := slices.DeleteFunc(s.AliveMembers(), func(i int) bool { return i == s.t.Index || i == but || s.members[i].State != peer.Alive })
	s.shuffle(all)
	return all[:min(n, len(all))]
}

// overdue looks after pings that have no answer: others are asked, then the one is suspected.
func (s *Membership) overdue(now int64) {
	wait := s.wait(s.t.AckTimeout)
	s.pings = slices.DeleteFunc(s.pings, func(p ping) bool {
		switch {
		case p.back >= 0 && now >= p.at+s.t.AckTimeout*3/4: // however slow this one is, the asker counts on it
			s.send(p.back, peer.Nack, p.seqOf, p.who) // in time for the one who asked
			return true
		case now < p.at+wait:
			return false
		}
		return p.back < 0 && !s.members[p.who].Alive()
	})
	// The others may send, which must not change the table that is walked through.
	for i := range s.pings {
		p := &s.pings[i]
		if now < p.at+wait || p.asked {
			continue
		}
		p.asked = true
		for _, h := range s.some(helpers, p.who) {
			s.send(h, peer.PingRequest, p.seq, p.who)
		}
	}
	for i := 0; i < len(s.pings); {
		p := s.pings[i]
		if !p.asked || now < p.at+verdict*wait {
			i++
			continue
		}
		s.pings = slices.Delete(s.pings, i, i+1)
		m := &s.members[p.who]
		if p.nacks == 0 && s.alive > 2 {
			s.health = min(mostHealth, s.health+1) // no helper has said a word: the fault may be here
		}
		switch {
		case m.LastHeard > p.at:
		case m.State == peer.Alive:
			s.become(p.who, peer.Suspect, m.Incarnation, s.t.Index, now)
		case m.State == peer.Suspect:
			s.doubt(p.who, s.t.Index)
		}
	}
}

// slow lengthens a time for fleets in which word takes longer to get about.
func (s *Membership) slow(t int64) int64 {
	return int64(float64(t) * max(1, math.Log10(float64(s.alive))/crowd))
}

// Patience is how long a suspect may be silent: it falls from its most to its least as further members confirm (Lifeguard).
func (s *Membership) Patience(doubts int) int64 {
	least := float64(s.slow(s.t.MinSilence))
	most := 2 * least
	k, part := float64(min(confirmers, s.alive-2)), 1.0
	if k > 0 { // somebody is there to confirm
		part = math.Log(float64(max(1, doubts))) / math.Log(k+1)
	}
	return s.wait(int64(max(least, most-(most-least)*part)))
}

// bury declares those dead that were suspected and silent for long enough.
func (s *Membership) bury(now int64) {
	for _, i := range s.doubted {
		m := &s.members[i]
		switch quiet := now - m.LastHeard; {
		case m.State != peer.Suspect:
		case quiet >= s.Patience(len(m.doubts)) && now-m.Since >= s.slow(verdict*s.t.AckTimeout): // it had time to refute
			s.become(i, peer.Dead, m.Incarnation, s.t.Index, now)
		case quiet < s.t.AckTimeout && m.Since < m.LastHeard:
			// Heard since it was suspected. It refutes to all; here its word is enough.
			m.State, m.doubts, m.Since = peer.Alive, nil, now
			s.changes = append(s.changes, Change{i, StateName(peer.Suspect), peer.Alive, i, now})
		}
	}
	s.doubted = slices.DeleteFunc(s.doubted, func(i int) bool { return s.members[i].State != peer.Suspect })
}

// Leave tells of the end of this process.
func (s *Membership) Leave() {
	s.left = true
	n := helpers
	if s.alive <= fewMembers {
		n = s.alive
	}
	for _, to := range s.some(n, -1) {
		for range farewells {
			s.send(to, peer.Leave, 0, s.t.Index)
		}
	}
}

// Word is a state's name.
func StateName(s peer.State) string {
	return [...]string{peer.Alive: "alive", peer.Suspect: "suspect", peer.Dead: "dead", peer.Left: "left"}[s]
}
