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

	indirectPingers      = 3  // members asked to ping on one's behalf
	maxConfirmations     = 2  // further members whose suspicion brings the death forward to its least time
	updateSendFactor     = 3  // a piece of news goes out so many times the logarithm of the members
	maxHealthScore       = 6  // steps by which trouble of one's own lengthens one's waits
	probeNonMembersEvery = 4  // every so many periods one who is not a member is pinged
	partitionDivisor     = 20 // where more than one in so many is away one of them is pinged each period: a partition may be over
	updatesPerDatagram   = 3  // pieces of news in an answer or a question
	remindInterval       = 1 * sec
	leaveCopies          = 2                                             // times that each of a few is told of the end
	suspectAfterTimeouts = 3                                             // waits from a ping until the one is suspected
	stallThreshold       = 30 * ms                                       // a tick later than this is time in which this process did not run
	maxSilence           = 600 * sec                                     // silences longer than this are told as this
	replayWindow         = 64                                            // datagrams of one life that may come out of order
	tickInterval         = 50 * ms                                       // between looks at what is due
	largeFleetLog        = 1.2                                           // logarithm, to 10, of the members from which patience grows
	maxUpdatesTaken      = 8                                             // pieces of news that one member's word may add in one datagram
	never                = -1 << 62                                      // before anything was heard
	smallFleet           = 16                                            // so few tell all others of their end
	maxIncarnationLead   = 1000 * 3600 * 24 * 365 * 10 << refutationBits // past this one's own start no life can be
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
	suspectedBy  []int  // who suspects it; emptied with the suspicion
	timesSent    int    // times that its news went out
	pending      bool   // its news has not gone out often enough
	start        uint64 // of the process whose datagrams are counted; its life may be known from others before it is heard
	newestNumber uint64 // newest datagram of that,
	remindedAt   int64  // when it was last told what is said of it
	received     uint64 // and which of those before it came, as bits
}

// ping is one that waits for its answer.
type pendingPing struct {
	seq           uint32
	target        int
	sentAt        int64
	helpRequested bool // helpers were asked
	nacks         int  // of them, who has answered that there is no answer
	requester     int  // pinged for another: who; -1 for oneself
	requesterSeq  uint32
}

// Send is a datagram for a member.
type Outgoing struct {
	To int
	peer.Datagram
}

// Change is one that came to another state.
type Change struct {
	Member int
	From   string // "" where it was not known
	To     peer.State
	By     int
	At     int64
}

// Swim is one member's view of all.
type Membership struct {
	cfg            Config
	incarnation    uint64
	members        []member // one for each place
	pingOrder      []int    // in which they are pinged; drawn anew when it is through
	nextPing       int
	pings          []pendingPing // emptied as they are answered or over
	out            []Outgoing        // emptied by Out
	changes        []Change
	pendingUpdates []int // members whose news has not gone out often enough; emptied as it does
	suspects       []int // suspects; emptied as they are cleared or dead
	rng            rng.Source
	seq            uint32
	sentNumber     uint64
	pingAt         int64
	lastTick       int64
	healthScore    int // 0: well; how much longer this process waits as it seems to be slow itself
	periods        int
	left           bool
	version        int // counts changes of who is alive
	alive          int
	Stalled        int64 // time in which this process did not run, as far as it noticed
	Dropped        struct{ Duplicates, Outdated, UnknownSender int }
}

// New begins a life. Who is configured is presumed to be there, and found missing by the same pings as any.
func New(cfg Config, incarnation uint64, now int64) *Membership {
	s := &Membership{cfg: cfg, incarnation: incarnation, members: make([]member, cfg.Members), rng: rng.Source{Seed: cfg.Seed}, lastTick: now}
	s.pingAt = now + int64(s.rng.Next()*float64(cfg.Period))
	for i := range s.members {
		s.members[i].LastHeard = never
	}
	s.members[cfg.Index] = member{Member: Member{Known: true, Incarnation: incarnation, Since: now, LastHeard: now}}
	s.sendUpdateAgain(cfg.Index)
	s.alive = cfg.Members
	return s
}

// Life is this process's, higher each time that it had to refute.
func (s *Membership) Incarnation() uint64 { return s.incarnation }

// Health is how slow this process takes itself to be, 0 for not at all.
func (s *Membership) Health() int { return s.healthScore }

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
func (s *Membership) TakeDatagrams() []Outgoing {
	out := s.out
	s.out = nil
	return out
}

// Changes hands over who came to another state since the last call.
func (s *Membership) TakeChanges() []Change {
	c := s.changes
	s.changes = nil
	return c
}

// Datagram begins one of this life, which carries nothing yet.
func (s *Membership) Datagram(k peer.Kind) (peer.Datagram, peer.Room) {
	s.sentNumber++
	return peer.Datagram{From: s.cfg.Index, Incarnation: s.incarnation, Number: s.sentNumber, Kind: k}, peer.FullRoom()
}

// Tell adds so many pieces of news at the most, those that went out least often. The table of members is also that of news: each has one.
func (s *Membership) AddUpdates(d *peer.Datagram, room *peer.Room, n int) {
	slices.SortStableFunc(s.pendingUpdates, func(x, y int) int { return s.members[x].timesSent - s.members[y].timesSent })
	maxSends := int(math.Ceil(updateSendFactor * math.Log2(float64(s.alive)+1)))
	for _, i := range s.pendingUpdates {
		if n--; n < 0 || !room.MemberUpdate() {
			break
		}
		d.Updates = append(d.Updates, s.updateOf(i))
		s.members[i].timesSent++
	}
	s.pendingUpdates = slices.DeleteFunc(s.pendingUpdates, func(i int) bool {
		m := &s.members[i]
		m.pending = m.timesSent < maxSends
		return !m.pending
	})
}

func (s *Membership) updateOf(i int) peer.MemberUpdate {
	m := &s.members[i]
	n := peer.MemberUpdate{Member: i, State: m.State, Incarnation: m.Incarnation, Origin: m.SuspectedBy}
	if m.State == peer.Suspect {
		n.Silence = peer.Hundredths(min(maxSilence, s.lastTick-m.LastHeard))
	}
	return n
}

func (s *Membership) send(to int, k peer.Kind, seq uint32, subject int) {
	d, room := s.Datagram(k)
	d.Seq, d.Subject = seq, subject
	s.AddUpdates(&d, &room, updatesPerDatagram)
	s.out = append(s.out, Outgoing{to, d})
}

// Fresh says whether a datagram is a member's, of its present life and not met before; else it is to be dropped and says nothing.
func (s *Membership) Accept(d *peer.Datagram) bool {
	if d.From >= s.cfg.Members || d.From == s.cfg.Index || d.Incarnation > s.incarnation+maxIncarnationLead {
		s.Dropped.UnknownSender++
		return false
	}
	m := &s.members[d.From]
	switch {
	case m.Known && (d.Incarnation>>refutationBits < m.Incarnation>>refutationBits || m.State == peer.Left && d.Incarnation <= m.Incarnation):
		s.Dropped.Outdated++
		if d.Kind == peer.Ping {
			// One whose clock was set back begins with a life that is past. It is told, and takes a later one.
			s.remind(d.From, s.updateOf(d.From))
		}
		return false
	case d.Incarnation>>refutationBits > m.start:
		m.start, m.newestNumber, m.received = d.Incarnation>>refutationBits, 0, 0
	case d.Incarnation>>refutationBits < m.start:
		s.Dropped.Outdated++
		return false
	}
	switch past := m.newestNumber - d.Number; {
	case d.Number > m.newestNumber:
		if ahead := d.Number - m.newestNumber; ahead < replayWindow {
			m.received = m.received<<ahead | 1
		} else {
			m.received = 1
		}
		m.newestNumber = d.Number
	case past >= replayWindow:
		s.Dropped.Outdated++
		return false
	case m.received&(1<<past) != 0:
		s.Dropped.Duplicates++
		return false
	default:
		m.received |= 1 << past
	}
	return true
}

// lifeBits of a life count refutations, the others the start. A life handed to New holds the start alone.
const refutationBits = 8

// LifeOf is the life of a process that starts at a clock time.
func IncarnationAt(unixNs int64) uint64 { return uint64(max(1, unixNs/ms)) << refutationBits }

// After is the least life of a process that begins after one of a life.
func NextIncarnation(incarnation uint64) uint64 {
	return (incarnation>>refutationBits + 1) << refutationBits
}

// Heard takes a fresh datagram.
func (s *Membership) Receive(d *peer.Datagram, now int64) {
	m := &s.members[d.From]
	m.LastHeard = now
	switch {
	case d.Kind == peer.Leave:
		s.setState(d.From, peer.Left, d.Incarnation, d.From, now)
		return
	case !m.Known || d.Incarnation > m.Incarnation:
		s.setState(d.From, peer.Alive, d.Incarnation, d.From, now)
	case m.State == peer.Dead || m.State == peer.Suspect:
		// What was just heard lives, whatever is said. It is told what is said of it, so that it can refute that to all.
		s.sendUpdateAgain(d.From)
		n := s.updateOf(d.From)
		if m.State == peer.Dead {
			s.setState(d.From, peer.Suspect, m.Incarnation, m.SuspectedBy, now)
		}
		if d.Kind != peer.Ping {
			s.remind(d.From, n)
		}
	}
	for _, n := range d.Updates[:min(len(d.Updates), maxUpdatesTaken)] {
		s.applyUpdate(n, now)
	}
	switch d.Kind {
	case peer.Ping:
		s.send(d.From, peer.Ack, d.Seq, s.cfg.Index)
	case peer.Ack, peer.Nack:
		s.receiveAnswer(d, now)
	case peer.PingRequest:
		if d.Subject < s.cfg.Members && d.Subject != s.cfg.Index {
			s.sendPing(d.Subject, d.From, d.Seq, now)
		}
	}
}

// remind tells a member what is said of it.
func (s *Membership) remind(member int, n peer.MemberUpdate) {
	m := &s.members[member]
	if s.lastTick-m.remindedAt < remindInterval {
		return
	}
	m.remindedAt = s.lastTick
	d, _ := s.Datagram(peer.Push)
	d.Updates = []peer.MemberUpdate{n}
	s.out = append(s.out, Outgoing{member, d})
}

// answered ends a ping, or passes its answer on to the one on whose behalf it was.
func (s *Membership) receiveAnswer(d *peer.Datagram, now int64) {
	i := slices.IndexFunc(s.pings, func(p pendingPing) bool { return p.seq == d.Seq })
	if i < 0 {
		return
	}
	p := &s.pings[i]
	if d.Kind == peer.Nack {
		p.nacks++
		return
	}
	if d.Subject != p.target {
		return
	}
	if s.members[p.target].Known {
		s.members[p.target].LastHeard = now // by way of another
	}
	if p.requester >= 0 {
		s.send(p.requester, peer.Ack, p.requesterSeq, p.target)
	} else {
		s.healthScore = max(0, s.healthScore-1)
	}
	s.pings = slices.Delete(s.pings, i, i+1)
}

func (s *Membership) sendPing(target, requester int, requesterSeq uint32, now int64) {
	s.seq++
	s.pings = append(s.pings, pendingPing{seq: s.seq, target: target, sentAt: now, requester: requester, requesterSeq: requesterSeq})
	if m := &s.members[target]; m.Known && m.State != peer.Alive {
		s.sendUpdateAgain(target) // it is told, to refute
	}
	s.send(target, peer.Ping, s.seq, target)
}

// learn takes one piece of news.
func (s *Membership) applyUpdate(update peer.MemberUpdate, now int64) {
	if update.Member >= s.cfg.Members || update.Origin >= s.cfg.Members || update.Incarnation > s.incarnation+maxIncarnationLead {
		return
	}
	if update.Member == s.cfg.Index {
		if update.Incarnation >= s.incarnation && (update.State != peer.Alive || update.Incarnation > s.incarnation) && !s.left {
			// Refuted by the living. Being suspected is a sign of being slow oneself; a life beyond one's own is an earlier process's
			// whose clock was ahead.
			if update.State == peer.Suspect {
				s.healthScore = min(maxHealthScore, s.healthScore+1)
			}
			s.incarnation = update.Incarnation + 1
			s.members[s.cfg.Index].Incarnation = s.incarnation
			s.sendUpdateAgain(s.cfg.Index)
		}
		return
	}
	m := &s.members[update.Member]
	lastSign := now - peer.Nanoseconds(update.Silence) // latest sign of life that By had
	switch {
	case !m.Known:
		m.LastHeard = max(m.LastHeard, lastSign)
		s.setState(update.Member, update.State, update.Incarnation, update.Origin, now)
	case update.Incarnation < m.Incarnation || update.Incarnation == m.Incarnation && update.State < m.State:
	case update.State == peer.Suspect && m.State == peer.Suspect && update.Incarnation == m.Incarnation:
		m.LastHeard = max(m.LastHeard, lastSign)
		s.confirmSuspicion(update.Member, update.Origin)
	case update.Incarnation == m.Incarnation && update.State == m.State:
	case update.State == peer.Suspect:
		heard := m.LastHeard
		m.LastHeard = max(m.LastHeard, lastSign)
		s.setState(update.Member, update.State, update.Incarnation, update.Origin, now)
		if silence := now - heard; silence > s.cfg.MinSilence/2 && silence < 2*s.cfg.MinSilence {
			s.confirmSuspicion(update.Member, s.cfg.Index) // it used to be heard here, and is not
		}
		s.pingSoon(update.Member)
	case update.State == peer.Dead && now-m.LastHeard < s.cfg.MinSilence/2:
		// It was heard here just now: one that others cannot reach is not dead. It is told, and refutes.
		if update.Incarnation > m.Incarnation {
			s.setState(update.Member, peer.Alive, update.Incarnation, update.Origin, now)
		}
		s.pingSoon(update.Member)
	default:
		if update.State == peer.Alive {
			m.LastHeard = max(m.LastHeard, now-s.cfg.MinSilence/2) // it lived a while ago
		}
		s.setState(update.Member, update.State, update.Incarnation, update.Origin, now)
	}
}

// look has one pinged next.
func (s *Membership) pingSoon(member int) {
	if i := slices.Index(s.pingOrder, member); i > s.nextPing {
		s.pingOrder[s.nextPing], s.pingOrder[i] = s.pingOrder[i], s.pingOrder[s.nextPing]
	} else if i < 0 || i < s.nextPing {
		s.pingOrder = slices.Insert(s.pingOrder, s.nextPing, member)
	}
}

// doubt adds one more who suspects a member.
func (s *Membership) confirmSuspicion(member, by int) {
	m := &s.members[member]
	if !slices.Contains(m.suspectedBy, by) && len(m.suspectedBy) <= maxConfirmations {
		m.suspectedBy = append(m.suspectedBy, by)
		m.SuspectedBy = by
		s.sendUpdateAgain(member) // passed on, as it is further evidence
	}
}

// rouse has a member's news go out again.
func (s *Membership) sendUpdateAgain(i int) {
	if m := &s.members[i]; !m.pending {
		m.pending = true
		s.pendingUpdates = append(s.pendingUpdates, i)
	}
	s.members[i].timesSent = 0
}

// become brings a member to a state.
func (s *Membership) setState(i int, state peer.State, incarnation uint64, by int, now int64) {
	m := &s.members[i]
	was, from, presumed := m.Alive(), "", !m.Known
	if m.Known {
		from = StateName(m.State)
	}
	if !m.Known || m.State != state {
		m.Since = now
		s.changes = append(s.changes, Change{i, from, state, by, now})
	}
	if incarnation>>refutationBits > m.Incarnation>>refutationBits && m.Known {
		s.version++ // another process at the same place
	}
	m.Known, m.State, m.Incarnation, m.SuspectedBy, m.suspectedBy = true, state, incarnation, by, nil
	if state == peer.Suspect {
		m.suspectedBy = []int{by}
		if silence := now - m.LastHeard; by == s.cfg.Index && silence > 2*s.cfg.MinSilence {
			m.LastHeard = now - suspectAfterTimeouts*s.cfg.AckTimeout // it was not heard here for long anyway: its silence counts from the ping
		}
		if !slices.Contains(s.suspects, i) {
			s.suspects = append(s.suspects, i)
		}
	}
	if !presumed || state != peer.Alive { // that one is there who is configured is no news
		s.sendUpdateAgain(i)
	}
	if m.Alive() != was {
		s.version++
		if was {
			s.alive--
		} else {
			s.alive++
			s.pingSoon(i)
		}
	}
}

// Tick does what is due and says when to come again. It is to be called often: a tick that comes late shows that this process did
// not run meanwhile, and then nobody else's silence counts.
func (s *Membership) Tick(now int64) (next int64) {
	if late := now - s.lastTick - tickInterval; late > stallThreshold {
		s.resume(late, now)
	}
	late := now - s.lastTick - tickInterval
	s.lastTick = now
	if late > s.cfg.MinSilence/3 { // some may doubt by now that this process lives: it shows at once that it does
		for _, to := range s.randomAlive(smallFleet, -1) {
			s.sendPing(to, -1, 0, now)
		}
	}
	s.checkPings(now)
	s.checkSuspects(now)
	if now >= s.pingAt && !s.left {
		s.pingAt = now + s.scaleByHealth(s.cfg.Period)
		s.pingNext(now)
	}
	return now + tickInterval
}

// stood takes account of time in which this process did not run.
func (s *Membership) resume(stalled, now int64) {
	s.Stalled += stalled
	s.healthScore = min(maxHealthScore, s.healthScore+1)
	for i := range s.members {
		if m := &s.members[i]; m.LastHeard > never {
			m.LastHeard = min(now, m.LastHeard+stalled)
		}
	}
	for i := range s.pings {
		s.pings[i].sentAt = min(now, s.pings[i].sentAt+stalled)
	}
}

// wait lengthens a time while this process seems to be slow itself.
func (s *Membership) scaleByHealth(t int64) int64 { return t + t*int64(s.healthScore)/2 }

// round pings the next in order.
func (s *Membership) pingNext(now int64) {
	s.periods++
	if s.periods%probeNonMembersEvery == 0 || s.alive == 1 || s.cfg.Members-s.alive > s.cfg.Members/partitionDivisor {
		s.pingNonMember(now)
	}
	for range len(s.pingOrder) + 2 {
		if s.nextPing >= len(s.pingOrder) {
			s.pingOrder, s.nextPing = s.AliveMembers(), 0
			s.shuffle(s.pingOrder)
		}
		if len(s.pingOrder) == 0 {
			return
		}
		member := s.pingOrder[s.nextPing]
		s.nextPing++
		if member != s.cfg.Index && s.members[member].Alive() {
			s.sendPing(member, -1, 0, now)
			return
		}
	}
}

// knockAtOne pings one that is not a member: it may have come, or be on this side again after a partition.
func (s *Membership) pingNonMember(now int64) {
	var absent []int
	for i := range s.members {
		if i != s.cfg.Index && !s.members[i].Alive() {
			absent = append(absent, i)
		}
	}
	if len(absent) > 0 {
		s.sendPing(absent[int(s.rng.Next()*float64(len(absent)))], -1, 0, now)
	}
}

func (s *Membership) shuffle(x []int) {
	for i := len(x) - 1; i > 0; i-- {
		j := int(s.rng.Next() * float64(i+1))
		x[i], x[j] = x[j], x[i]
	}
}

// some draws members that take part, other than two.
func (s *Membership) randomAlive(n, except int) []int {
	all := slices.DeleteFunc(s.AliveMembers(), func(i int) bool { return i == s.cfg.Index || i == except || s.members[i].State != peer.Alive })
	s.shuffle(all)
	return all[:min(n, len(all))]
}

// overdue looks after pings that have no answer: others are asked, then the one is suspected.
func (s *Membership) checkPings(now int64) {
	timeout := s.scaleByHealth(s.cfg.AckTimeout)
	s.pings = slices.DeleteFunc(s.pings, func(p pendingPing) bool {
		switch {
		case p.requester >= 0 && now >= p.sentAt+s.cfg.AckTimeout*3/4: // however slow this one is, the asker counts on it
			s.send(p.requester, peer.Nack, p.requesterSeq, p.target) // in time for the one who asked
			return true
		case now < p.sentAt+timeout:
			return false
		}
		return p.requester < 0 && !s.members[p.target].Alive()
	})
	// The others may send, which must not change the table that is walked through.
	for i := range s.pings {
		p := &s.pings[i]
		if now < p.sentAt+timeout || p.helpRequested {
			continue
		}
		p.helpRequested = true
		for _, h := range s.randomAlive(indirectPingers, p.target) {
			s.send(h, peer.PingRequest, p.seq, p.target)
		}
	}
	for i := 0; i < len(s.pings); {
		p := s.pings[i]
		if !p.helpRequested || now < p.sentAt+suspectAfterTimeouts*timeout {
			i++
			continue
		}
		s.pings = slices.Delete(s.pings, i, i+1)
		m := &s.members[p.target]
		if p.nacks == 0 && s.alive > 2 {
			s.healthScore = min(maxHealthScore, s.healthScore+1) // no helper has said a word: the fault may be here
		}
		switch {
		case m.LastHeard > p.sentAt:
		case m.State == peer.Alive:
			s.setState(p.target, peer.Suspect, m.Incarnation, s.cfg.Index, now)
		case m.State == peer.Suspect:
			s.confirmSuspicion(p.target, s.cfg.Index)
		}
	}
}

// slow lengthens a time for fleets in which word takes longer to get about.
func (s *Membership) scaleBySize(t int64) int64 {
	return int64(float64(t) * max(1, math.Log10(float64(s.alive))/largeFleetLog))
}

// Patience is how long a suspect may be silent: it falls from its most to its least as further members confirm (Lifeguard).
func (s *Membership) SuspicionTimeout(suspecting int) int64 {
	least := float64(s.scaleBySize(s.cfg.MinSilence))
	most := 2 * least
	k, part := float64(min(maxConfirmations, s.alive-2)), 1.0
	if k > 0 { // somebody is there to confirm
		part = math.Log(float64(max(1, suspecting))) / math.Log(k+1)
	}
	return s.scaleByHealth(int64(max(least, most-(most-least)*part)))
}

// bury declares those dead that were suspected and silent for long enough.
func (s *Membership) checkSuspects(now int64) {
	for _, i := range s.suspects {
		m := &s.members[i]
		switch silence := now - m.LastHeard; {
		case m.State != peer.Suspect:
		case silence >= s.SuspicionTimeout(len(m.suspectedBy)) && now-m.Since >= s.scaleBySize(suspectAfterTimeouts*s.cfg.AckTimeout): // it had time to refute
			s.setState(i, peer.Dead, m.Incarnation, s.cfg.Index, now)
		case silence < s.cfg.AckTimeout && m.Since < m.LastHeard:
			// Heard since it was suspected. It refutes to all; here its word is enough.
			m.State, m.suspectedBy, m.Since = peer.Alive, nil, now
			s.changes = append(s.changes, Change{i, StateName(peer.Suspect), peer.Alive, i, now})
		}
	}
	s.suspects = slices.DeleteFunc(s.suspects, func(i int) bool { return s.members[i].State != peer.Suspect })
}

// Leave tells of the end of this process.
func (s *Membership) Leave() {
	s.left = true
	n := indirectPingers
	if s.alive <= smallFleet {
		n = s.alive
	}
	for _, to := range s.randomAlive(n, -1) {
		for range leaveCopies {
			s.send(to, peer.Leave, 0, s.cfg.Index)
		}
	}
}

// Word is a state's name.
func StateName(s peer.State) string {
	return [...]string{peer.Alive: "alive", peer.Suspect: "suspect", peer.Dead: "dead", peer.Left: "left"}[s]
}
