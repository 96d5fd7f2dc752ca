// Package control is the control process of a fleet: it replicates the operator's configuration, owns shards of hosts
// and limits while it holds their lease, and feeds the agents. All state belongs to one goroutine, to which everything
// that happens is handed as an event; disk, platform and connections work beside it, behind Environment.
package control

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"ivybank/config"
	"ivybank/config/validate"
	"ivybank/control/hostlist"
	"ivybank/control/lease"
	"ivybank/control/quota"
	"ivybank/control/replica"
	"ivybank/control/store"
	"ivybank/settings"
	"ivybank/wire"
)

const (
	joinInterval  = 200 * time.Millisecond
	groupInterval = time.Second
	// silenceShare is the part of sync_s for which a member may be silent before another machine takes its place. A machine
	// that replaces one has sync_s from its start, which is no earlier than the silence: the rest is left for the change.
	silenceShare    = 0.5
	shortestSilence = 1200 * time.Millisecond
	tenurePause     = 500 * time.Millisecond // after a write that failed
)

// parser reads and checks an operator's configuration.
type parser interface {
	Parse(body []byte) (*config.Config, error)
}

// Node is one life of a control process. Its methods belong to its loop.
type Node struct {
	settings *settings.Settings
	log      hclog.Logger
	env      Environment
	life     uint64
	dropped  Dropped
	counts   nodeCounts

	replica *replica.Replica
	saving  bool
	wasRole replica.Role
	links   map[string]wire.LinkHandle
	callers map[string]int // connections of other control processes to this one, by IP
	joinAt  time.Duration

	state       *store.State // decoded from the committed entry
	stateAt     replica.Position
	tenants     map[string]*config.Tenant // of the committed configuration
	services    map[string]bool           // that it names
	memberSince replica.Position          // entry whose members the granter has seen
	members     []wire.Member             // that it names
	groupAt     time.Duration
	subscribers []*subscriber
	feed        *wire.Config // the committed configuration as it is fed
	feedMessage *wire.Message

	replicas    []*replica.Replica // of the configuration, then those of the parts: each is a group of its own
	parts       []*part            // of the coordination state; none where applications ask for no coordination
	savingParts bool
	wholeParts  bool                   // the next write of the parts has to hold everything
	passed      map[uint64]*passedCall // by number
	nextPassed  uint64

	granter   *lease.Granter
	tenuresOn bool          // a write of what it remembers is under way
	tenuresAt time.Duration // none is tried before
	shards    [hostlist.Shards]*shard
	reading   bool
	readAt    time.Duration
	readSince time.Duration // when the read that is under way began
	resumed   bool          // leases are granted again, as all members had restarted
	resumedAt time.Duration

	validator parser
	proposal  *proposal
	queue     []*proposal
	queued    int // bytes
	stopping  bool
	releases  []*wire.Message // of leases that have been given up, to be told at releaseAt
	releaseAt time.Duration
}

// Start is what a node starts from.
type Start struct {
	Settings *settings.Settings
	Log      hclog.Logger
	Identity store.Identity
	Disk     replica.PersistentState
	Tenures  []string // resources whose holder was long in office
	Parts    []PartStart
	Random   *rand.Rand
}

// Dropped counts messages that were not taken, by cause.
type Dropped struct {
	EarlierLife   int64 `json:"earlier_life"`    // answers to requests of an earlier life of this process
	NotMember     int64 `json:"not_member"`      // requests for leases of processes that are no members
	QuotaNotOwned int64 `json:"quota_not_owned"` // draws from limits of other owners or unknown tenants
	UnknownPart   int64 `json:"unknown_part"`    // messages of parts that this process doesn't have
	OtherFleet    int64 `json:"other_fleet"`     // connections of processes of other fleets
	Oversized     int64 `json:"oversized"`       // frames that are too long,
	UnknownKind   int64 `json:"unknown_kind"`    // hold no message that is known,
	NoGreeting    int64 `json:"no_greeting"`     // come from one that has not said who it is,
	Malformed     int64 `json:"malformed"`       // or can't be read; each ends its connection
}

// FrameSpoilt counts a frame that ended its connection. Connections that just end are none.
func (n *Node) FrameSpoilt(err error) {
	switch {
	case errors.Is(err, wire.ErrOversized):
		n.dropped.Oversized++
	case errors.Is(err, wire.ErrUnknownKind):
		n.dropped.UnknownKind++
	case errors.Is(err, wire.ErrNoGreeting):
		n.dropped.NoGreeting++
	case errors.Is(err, wire.ErrFrame):
		n.dropped.Malformed++
	}
}

// NewNode makes a node from what its disk held.
func NewNode(from Start, env Environment) *Node {
	s := from.Settings
	n := &Node{settings: s, log: from.Log, env: env, life: from.Random.Uint64() | 1, links: map[string]wire.LinkHandle{},
		callers: map[string]int{}, passed: map[uint64]*passedCall{}, counts: newNodeCounts(), validator: &validate.Validator{}}
	self := wire.Member{ID: from.Identity.ID, IP: s.IP}
	group := replica.Group{Target: 2*s.Tolerate.Machines + 1, MemberTimeout: memberSilence(s)}
	n.replica = replica.New(self, group, from.Disk, from.Random, n.now())
	n.newParts(from)
	n.granter = lease.NewGranter(longTenure(s), from.Tenures, n.now())
	for i := range n.shards {
		n.shards[i] = newShard(uint32(i), self.ID, n.life, n.now())
	}
	n.log.Info("replica starts", "id", self.ID, "founder", from.Identity.Founder, "term", from.Disk.Term,
		"entry", from.Disk.Entry.Position())
	n.syncLinks()
	return n
}

func memberSilence(s *settings.Settings) time.Duration {
	return max(shortestSilence, time.Duration(silenceShare*s.Bounds.SyncS*float64(time.Second)))
}

func (n *Node) now() time.Duration { return n.env.Now() }

// Reload takes other settings.
func (n *Node) Reload(s *settings.Settings) {
	n.settings = s
	n.syncLinks()
}

// Tick lets time pass.
func (n *Node) Tick() {
	now := n.now()
	n.replica.Tick(now)
	n.tickParts(now)
	if now >= n.joinAt && n.needsToJoin(now) {
		n.joinAt = now + joinInterval
		n.syncLinks()
		n.askForPlaces(now)
	}
	n.tickShards(now)
	n.tellReleases(now)
	n.tickProposals(now)
	if now >= n.groupAt {
		n.groupAt = now + groupInterval
		n.publishGroup()
	}
}

// Flush carries out what the replica asks for. It is called after each event.
func (n *Node) Flush() {
	if role := n.replica.Role(); role != n.wasRole {
		n.log.Info("role changed", "role", role.String(), "term", n.replica.Term())
		n.wasRole = role
		n.counts.roleChanges.Inc()
	}
	n.sendMessages()
	if !n.saving {
		if s := n.replica.TakeSave(); s != nil {
			n.saving = true
			n.env.Save(s)
		}
	}
	n.flushParts()
	n.saveTenures()
	n.followMembers()
	n.followCommit()
	n.sendMessages() // of what was proposed upon the commit
	n.followRestart()
}

// Saved tells that a write is on disk.
func (n *Node) Saved(s *replica.Save) {
	n.saving = false
	n.replica.Saved(s, n.now())
}

// saveTenures writes what the granter remembers, where it isn't on disk.
func (n *Node) saveTenures() {
	if n.tenuresOn || n.now() < n.tenuresAt {
		return
	}
	if t, unsaved := n.granter.UnsavedTenures(); unsaved {
		n.tenuresOn = true
		n.env.SaveTenures(t)
	}
}

// TenuresSaved tells how that write ended. One that failed is tried again after a while.
func (n *Node) TenuresSaved(t lease.Tenures, err error) {
	n.tenuresOn = false
	if err != nil {
		n.tenuresAt = n.now() + tenurePause
		return
	}
	n.granter.TenuresSaved(t)
}

// sendMessages sends what the replicas have to say to others.
func (n *Node) sendMessages() {
	for group, r := range n.replicas {
		for _, e := range r.TakeMessages() {
			e.Message.Part = uint32(group)
			if link := n.links[e.To.IP]; link != nil {
				link.Send(e.Message)
			}
		}
	}
}

// followCommit takes a newly committed state and feeds it.
func (n *Node) followCommit() {
	committed := n.replica.Committed()
	if committed == nil || committed.Position() == n.stateAt {
		return
	}
	state, err := store.Decode(committed.Value)
	if err != nil {
		n.log.Error("committed state unreadable", "error", err)
		return
	}
	before := n.state
	if before != nil && state.Revision < before.Revision {
		panic(fmt.Sprintf("control: revision %d is committed after %d", state.Revision, before.Revision))
	}
	n.state, n.stateAt = state, committed.Position()
	if before == nil || before.Revision != state.Revision {
		n.log.Info("configuration committed", "revision", state.Revision, "entry", committed.Index)
		n.readLimits(state.Body)
		n.publishConfig()
	}
	n.finishProposal()
}

// readLimits reads what has limits in a configuration, which was checked when it was taken.
func (n *Node) readLimits(body []byte) {
	n.tenants, n.services = map[string]*config.Tenant{}, map[string]bool{}
	if len(body) == 0 {
		return // before the first one
	}
	c, err := config.Read(body)
	if err != nil {
		n.log.Error("committed configuration unreadable", "error", err)
		return
	}
	for i := range c.Tenants {
		n.tenants[c.Tenants[i].Name] = &c.Tenants[i]
	}
	for i := range c.Services {
		n.services[c.Services[i].Name] = true
	}
}

// followRestart grants leases at once where all members have just restarted.
func (n *Node) followRestart() {
	if n.resumed || !n.replica.AllRestarted() {
		return
	}
	now := n.now()
	n.resumed, n.resumedAt = true, now
	n.granter.Resume(now)
	for _, s := range n.shards {
		s.holder.RetryNow(now)
	}
}

// StartLeaving gives up what others may take over at once: shards, and the leadership once the others have all that was
// acknowledged. Orders are no longer taken.
func (n *Node) StartLeaving() {
	n.stopping = true
	now := n.now()
	for _, s := range n.shards {
		if q := s.holder.Release(now); q != nil {
			n.releases = append(n.releases, &wire.Message{LeaseRequest: q})
		}
		n.followOwnership(s, now)
	}
	n.releaseAt = now + quota.MaxDelay // by then all that was granted has begun to be used
	for _, r := range n.replicas {
		r.StartLeaving(now)
	}
	n.Flush()
}

// MayStop says whether the others have all that this node had a part in.
func (n *Node) MayStop() bool {
	for _, r := range n.replicas {
		if !r.LeaveDone() {
			return false
		}
	}
	return len(n.releases) == 0 && n.callsUnderWay() == 0
}

// tellReleases tells members that leases are free.
func (n *Node) tellReleases(now time.Duration) {
	if len(n.releases) == 0 || now < n.releaseAt {
		return
	}
	for _, m := range n.releases {
		n.toAllLinks(m)
	}
	n.releases = nil
}
