// Package swim implements fleet membership: SWIM (Das, Gupta, Motivala, 2002) with Lifeguard's local health
// (Dadgar, Phillips, Currey, 2018), free of I/O. It is passed datagrams and the time, and returns datagrams.
// Membership never delays a request, and never declares a member dead that it has just heard.
package swim

import (
	"math"
	"slices"

	"ivybank/fleet/peer"
	"ivybank/internal/rng"
)

const (
	ms, sec = int64(1e6), int64(1e9)

	indirectPingers      = 3 // members that are asked for an indirect ping
	maxConfirmations     = 2 // further suspecting members that reduce the suspicion timeout to its minimum
	updateSendFactor     = 3 // an update is sent this factor times the binary logarithm of the members
	maxHealthScore       = 6 // limit of the health score, which lengthens this process's timeouts
	probeNonMembersEvery = 4 // a non-member is pinged every this many periods
	// If more than one in this many members is absent, an absent one is pinged each period: a partition may have
	// ended.
	partitionDivisor     = 20
	updatesPerDatagram   = 3 // in a ping or an answer
	remindInterval       = 1 * sec
	leaveCopies          = 2 // sent to each receiver of a leave
	suspectAfterTimeouts = 3 // in timeouts from the ping
	// A tick later than this shows that the process did not run.
	stallThreshold = 30 * ms
	maxSilence     = 600 * sec // longest silence that is reported
	// Datagrams of one incarnation that may arrive out of order.
	replayWindow = 64
	tickInterval = 50 * ms // between checks of what is due
	// Base 10 logarithm of the members above which suspicion timeouts grow.
	largeFleetLog   = 1.2
	maxUpdatesTaken = 8        // updates accepted from one datagram
	never           = -1 << 62 // time before anything was heard
	// In a fleet of this size all others are told of a leave.
	smallFleet = 16
	// An incarnation further ahead of this process's own is invalid.
	maxIncarnationLead = 1000 * 3600 * 24 * 365 * 10 << refutationBits
)

// Config is the configuration of a member. Times are in nanoseconds.
type Config struct {
	Index, Members int   // own index, and size of the fleet
	Period         int64 // between pings
	AckTimeout     int64 // for the answer to a ping, direct or indirect
	MinSilence     int64 // a member heard within this time is not declared dead
	Seed           uint64
}

// Member is what is known of one member.
type Member struct {
	Known       bool // heard of since this process started; otherwise it is presumed alive because it is configured
	State       peer.State
	Incarnation uint64
	Since       int64 // time of the latest change of state
	LastHeard   int64 // time of the latest sign of life known to this process
	SuspectedBy int   // member that reported the suspicion
}

// Alive reports whether the member takes part. A suspect does until it is declared dead.
func (m Member) Alive() bool { return !m.Known || m.State <= peer.Suspect }

type member struct {
	Member
	suspectedBy []int // members that suspect it; emptied when the suspicion ends
	timesSent   int   // how often its update was sent
	pending     bool  // its update was not sent often enough yet
	// Start of the process that the following fields belong to. Its incarnation may be known from others before
	// its first datagram arrives.
	start        uint64
	newestNumber uint64 // newest datagram number received
	remindedAt   int64  // time at which it was last told what is said about it
	received     uint64 // bit set of the numbers before newestNumber that were received
}

// pendingPing is a ping that waits for its answer.
type pendingPing struct {
	seq           uint32
	target        int
	sentAt        int64
	helpRequested bool // indirect pings were requested
	nacks         int  // helpers that reported no answer
	requester     int  // member that asked for this indirect ping; -1 for an own ping
	requesterSeq  uint32
}

// Outgoing is a datagram to be sent to a member.
type Outgoing struct {
	To int
	peer.Datagram
}

// Change is a change of a member's state.
type Change struct {
	Member int
	From   string // "" if the member was not known
	To     peer.State
	By     int
	At     int64
}

// Membership is one member's view of the fleet.
type Membership struct {
	cfg            Config
	incarnation    uint64
	members        []member // by index
	pingOrder      []int    // shuffled anew at each end
	nextPing       int
	pings          []pendingPing // removed when answered or timed out
	out            []Outgoing    // emptied by TakeDatagrams
	changes        []Change
	pendingUpdates []int // members whose updates were not sent often enough yet
	suspects       []int // removed when cleared or dead
	rng            rng.Source
	seq            uint32
	sentNumber     uint64
	pingAt         int64
	lastTick       int64
	healthScore    int // 0: healthy; a slow process lengthens its timeouts by it (Lifeguard)
	periods        int
	left           bool
	version        int // number of changes of who is alive
	alive          int
	Stalled        int64 // ns in which this process did not run, as far as it noticed
	Dropped        struct{ Duplicates, Outdated, UnknownSender int }
}

// New starts an incarnation. Configured members are presumed alive; those that are absent are detected by the
// usual pings.
func New(cfg Config, incarnation uint64, now int64) *Membership {
	s := &Membership{cfg: cfg, incarnation: incarnation, members: make([]member, cfg.Members),
		rng: rng.Source{Seed: cfg.Seed}, lastTick: now}
	s.pingAt = now + int64(s.rng.Next()*float64(cfg.Period))
	for i := range s.members {
		s.members[i].LastHeard = never
	}
	s.members[cfg.Index] = member{Member: Member{Known: true, Incarnation: incarnation, Since: now, LastHeard: now}}
	s.sendUpdateAgain(cfg.Index)
	s.alive = cfg.Members
	return s
}

// Incarnation returns this process's incarnation, which grows with each refutation.
func (s *Membership) Incarnation() uint64 { return s.incarnation }

// Health returns the local health score; 0 means that the process is not slow.
func (s *Membership) Health() int { return s.healthScore }

// Version changes whenever a member becomes alive or stops being alive.
func (s *Membership) Version() int { return s.version }

// AliveCount returns the number of alive members, including this one.
func (s *Membership) AliveCount() int { return s.alive }

// Member returns what is known of a member.
func (s *Membership) Member(i int) Member { return s.members[i].Member }

// Alive reports whether a member takes part.
func (s *Membership) Alive(i int) bool { return s.members[i].Alive() }

// AliveMembers returns the indexes of all members that take part, in order.
func (s *Membership) AliveMembers() (all []int) {
	for i := range s.members {
		if s.members[i].Alive() {
			all = append(all, i)
		}
	}
	return all
}

// TakeDatagrams returns the datagrams to be sent since the last call.
func (s *Membership) TakeDatagrams() []Outgoing {
	out := s.out
	s.out = nil
	return out
}

// TakeChanges returns the changes of state since the last call.
func (s *Membership) TakeChanges() []Change {
	c := s.changes
	s.changes = nil
	return c
}

// Datagram returns a new datagram of this incarnation without content, and the room left in it.
func (s *Membership) Datagram(k peer.Kind) (peer.Datagram, peer.Room) {
	s.sentNumber++
	return peer.Datagram{From: s.cfg.Index, Incarnation: s.incarnation, Number: s.sentNumber, Kind: k}, peer.FullRoom()
}

// AddUpdates adds up to n updates, those first that were sent least often. Each member has one update, built from
// the table of members.
func (s *Membership) AddUpdates(d *peer.Datagram, room *peer.Room, n int) {
	slices.SortStableFunc(s.pendingUpdates,
		func(x, y int) int { return s.members[x].timesSent - s.members[y].timesSent })
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

// Accept reports whether a datagram comes from the present incarnation of a member and was not received before.
// Other datagrams must be dropped.
func (s *Membership) Accept(d *peer.Datagram) bool {
	if d.From >= s.cfg.Members || d.From == s.cfg.Index || d.Incarnation > s.incarnation+maxIncarnationLead {
		s.Dropped.UnknownSender++
		return false
	}
	m := &s.members[d.From]
	switch {
	case m.Known && (d.Incarnation>>refutationBits < m.Incarnation>>refutationBits ||
		m.State == peer.Left && d.Incarnation <= m.Incarnation):
		s.Dropped.Outdated++
		if d.Kind == peer.Ping {
			// A process whose clock was set back starts with an outdated incarnation. It is told so and takes a
			// later one.
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

// The lower refutationBits of an incarnation count refutations, the upper bits hold the start time. The
// incarnation passed to New holds the start time only.
const refutationBits = 8

// IncarnationAt returns the incarnation of a process that starts at a wall time in ns.
func IncarnationAt(unixNs int64) uint64 { return uint64(max(1, unixNs/ms)) << refutationBits }

// NextIncarnation returns the lowest incarnation of a process that starts after one with the given incarnation.
func NextIncarnation(incarnation uint64) uint64 {
	return (incarnation>>refutationBits + 1) << refutationBits
}

// Receive handles a datagram that Accept accepted.
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
		// A member that was just heard is alive, whatever others report. It is told what is said about it, so that
		// it can refute it.
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

// remind tells a member what is said about it, so that it can refute it.
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

// receiveAnswer completes a ping, or forwards its answer to the member that requested the ping.
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
		s.members[p.target].LastHeard = now // by an indirect ping
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
	s.pings = append(s.pings, pendingPing{seq: s.seq, target: target, sentAt: now, requester: requester,
		requesterSeq: requesterSeq})
	if m := &s.members[target]; m.Known && m.State != peer.Alive {
		s.sendUpdateAgain(target) // so that the member can refute its state
	}
	s.send(target, peer.Ping, s.seq, target)
}

// applyUpdate applies one update.
func (s *Membership) applyUpdate(update peer.MemberUpdate, now int64) {
	if update.Member >= s.cfg.Members || update.Origin >= s.cfg.Members ||
		update.Incarnation > s.incarnation+maxIncarnationLead {
		return
	}
	if update.Member == s.cfg.Index {
		if update.Incarnation >= s.incarnation &&
			(update.State != peer.Alive || update.Incarnation > s.incarnation) && !s.left {
			// The update about this process is refuted with a higher incarnation. A suspicion is a sign that this
			// process is slow. A higher incarnation belongs to an earlier process whose clock was ahead.
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
	lastSign := now - peer.Nanoseconds(update.Silence) // latest sign of life known to the reporting member
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
			s.confirmSuspicion(update.Member, s.cfg.Index) // it used to be heard here and no longer is
		}
		s.pingSoon(update.Member)
	case update.State == peer.Dead && now-m.LastHeard < s.cfg.MinSilence/2:
		// It was heard here just now. A member that others cannot reach is not dead; it is pinged and refutes the
		// update.
		if update.Incarnation > m.Incarnation {
			s.setState(update.Member, peer.Alive, update.Incarnation, update.Origin, now)
		}
		s.pingSoon(update.Member)
	default:
		if update.State == peer.Alive {
			m.LastHeard = max(m.LastHeard, now-s.cfg.MinSilence/2) // it was alive a while ago
		}
		s.setState(update.Member, update.State, update.Incarnation, update.Origin, now)
	}
}

// pingSoon moves a member to the front of the ping order.
func (s *Membership) pingSoon(member int) {
	if i := slices.Index(s.pingOrder, member); i > s.nextPing {
		s.pingOrder[s.nextPing], s.pingOrder[i] = s.pingOrder[i], s.pingOrder[s.nextPing]
	} else if i < 0 || i < s.nextPing {
		s.pingOrder = slices.Insert(s.pingOrder, s.nextPing, member)
	}
}

// confirmSuspicion adds a member that suspects another.
func (s *Membership) confirmSuspicion(member, by int) {
	m := &s.members[member]
	if !slices.Contains(m.suspectedBy, by) && len(m.suspectedBy) <= maxConfirmations {
		m.suspectedBy = append(m.suspectedBy, by)
		m.SuspectedBy = by
		s.sendUpdateAgain(member) // forwarded, because it is further evidence
	}
}

// sendUpdateAgain restarts the sending of a member's update.
func (s *Membership) sendUpdateAgain(i int) {
	if m := &s.members[i]; !m.pending {
		m.pending = true
		s.pendingUpdates = append(s.pendingUpdates, i)
	}
	s.members[i].timesSent = 0
}

// setState changes a member's state.
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
		s.version++ // another process at the same index
	}
	m.Known, m.State, m.Incarnation, m.SuspectedBy, m.suspectedBy = true, state, incarnation, by, nil
	if state == peer.Suspect {
		m.suspectedBy = []int{by}
		if silence := now - m.LastHeard; by == s.cfg.Index && silence > 2*s.cfg.MinSilence {
			// It was not heard here for long, so its silence counts from the ping.
			m.LastHeard = now - suspectAfterTimeouts*s.cfg.AckTimeout
		}
		if !slices.Contains(s.suspects, i) {
			s.suspects = append(s.suspects, i)
		}
	}
	if !presumed || state != peer.Alive { // that a configured member is present is not worth an update
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

// Tick does what is due and returns when to call it again. It has to be called often: a late tick shows that this
// process did not run, and then the silence of others does not count.
func (s *Membership) Tick(now int64) (next int64) {
	if late := now - s.lastTick - tickInterval; late > stallThreshold {
		s.resume(late, now)
	}
	late := now - s.lastTick - tickInterval
	s.lastTick = now
	// Others may suspect this process by now, so it shows at once that it is alive.
	if late > s.cfg.MinSilence/3 {
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

// resume excludes the time in which this process did not run from all silences and timeouts.
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

// scaleByHealth lengthens a time by the health score.
func (s *Membership) scaleByHealth(t int64) int64 { return t + t*int64(s.healthScore)/2 }

// pingNext pings the next member in the ping order.
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

// pingNonMember pings an absent member: it may have started, or be reachable again after a partition.
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

// randomAlive returns up to n random alive members other than this one and except.
func (s *Membership) randomAlive(n, except int) []int {
	all := slices.DeleteFunc(s.AliveMembers(), func(i int) bool {
		return i == s.cfg.Index || i == except || s.members[i].State != peer.Alive
	})
	s.shuffle(all)
	return all[:min(n, len(all))]
}

// checkPings handles overdue pings: it requests indirect pings, then suspects the target.
func (s *Membership) checkPings(now int64) {
	timeout := s.scaleByHealth(s.cfg.AckTimeout)
	s.pings = slices.DeleteFunc(s.pings, func(p pendingPing) bool {
		switch {
		// Without scaling by health, because the requester waits.
		case p.requester >= 0 && now >= p.sentAt+s.cfg.AckTimeout*3/4:
			s.send(p.requester, peer.Nack, p.requesterSeq, p.target) // arrives before the requester's timeout
			return true
		case now < p.sentAt+timeout:
			return false
		}
		return p.requester < 0 && !s.members[p.target].Alive()
	})
	// A separate loop, because sending must not change the table during the deletion above.
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
			s.healthScore = min(maxHealthScore, s.healthScore+1) // no helper answered at all, so the fault may be local
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

// scaleBySize lengthens a time for large fleets, in which updates spread more slowly.
func (s *Membership) scaleBySize(t int64) int64 {
	return int64(float64(t) * max(1, math.Log10(float64(s.alive))/largeFleetLog))
}

// SuspicionTimeout returns how long a suspect may be silent. It falls from its maximum to its minimum as further
// members confirm the suspicion (Lifeguard).
func (s *Membership) SuspicionTimeout(suspecting int) int64 {
	least := float64(s.scaleBySize(s.cfg.MinSilence))
	most := 2 * least
	k, part := float64(min(maxConfirmations, s.alive-2)), 1.0
	if k > 0 { // there are members that can confirm
		part = math.Log(float64(max(1, suspecting))) / math.Log(k+1)
	}
	return s.scaleByHealth(int64(max(least, most-(most-least)*part)))
}

// checkSuspects declares suspects dead that were silent for long enough.
func (s *Membership) checkSuspects(now int64) {
	for _, i := range s.suspects {
		m := &s.members[i]
		switch silence := now - m.LastHeard; {
		case m.State != peer.Suspect:
		// It had time to refute.
		case silence >= s.SuspicionTimeout(len(m.suspectedBy)) &&
			now-m.Since >= s.scaleBySize(suspectAfterTimeouts*s.cfg.AckTimeout):
			s.setState(i, peer.Dead, m.Incarnation, s.cfg.Index, now)
		case silence < s.cfg.AckTimeout && m.Since < m.LastHeard:
			// It was heard since it was suspected. It refutes the suspicion to all; here the datagram is enough.
			m.State, m.suspectedBy, m.Since = peer.Alive, nil, now
			s.changes = append(s.changes, Change{i, StateName(peer.Suspect), peer.Alive, i, now})
		}
	}
	s.suspects = slices.DeleteFunc(s.suspects, func(i int) bool { return s.members[i].State != peer.Suspect })
}

// Leave tells other members that this process ends.
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

// StateName returns the name of a state.
func StateName(s peer.State) string {
	return [...]string{peer.Alive: "alive", peer.Suspect: "suspect", peer.Dead: "dead", peer.Left: "left"}[s]
}
