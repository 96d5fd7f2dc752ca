// Package control implements the control process of a fleet: it replicates the operator's configuration, owns shards
// of hosts and limits while it holds their leases, and sends updates to the agents. All state belongs to one
// goroutine, the event loop, which receives everything that happens as an event. Disk, platform and connections work
// concurrently, behind Environment.
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
	// memberTimeoutShare is the share of sync_s for which a member may be silent before another machine replaces it.
	// The replacement has sync_s from its own start, which is no earlier than the silence; the rest is for the change
	// of members.
	memberTimeoutShare = 0.5
	minMemberTimeout   = 1200 * time.Millisecond
	tenureRetryDelay   = 500 * time.Millisecond // after a failed write
)

// configParser parses and validates an operator's configuration.
type configParser interface {
	Parse(body []byte) (*config.Config, error)
}

// Node is one incarnation of a control process. Its methods must be called in its event loop.
type Node struct {
	settings    *settings.Settings
	log         hclog.Logger
	env         Environment
	incarnation uint64
	dropped     Dropped
	counters    nodeCounters

	replica      *replica.Replica
	saving       bool
	lastRole     replica.Role
	links        map[string]wire.LinkHandle
	inboundPeers map[string]int // number of connections from other control processes, by IP
	nextJoinAt   time.Duration

	state                  *store.State // decoded from the committed entry
	statePosition          replica.Position
	tenants                map[string]*config.Tenant // of the committed configuration, by name
	services               map[string]bool           // names of the services in the committed configuration
	membersPosition        replica.Position          // the entry whose members were applied last
	members                []wire.Member             // of that entry
	nextGroupAt            time.Duration
	subscribers            []*subscriber
	publishedConfig        *wire.Config // the committed configuration as it is published
	publishedConfigMessage *wire.Message

	replicas          []*replica.Replica // of the configuration, then of each part; each in a group of its own
	parts             []*part            // of the coordination state; empty without coordination
	savingParts       bool
	nextPartsSaveFull bool                      // the next write of the parts has to be a full one
	forwarded         map[uint64]*forwardedCall // by number of the request
	nextForwardNumber uint64

	granter         *lease.Granter
	savingTenures   bool          // a write of the granter's tenures is in progress
	tenuresRetryAt  time.Duration // the earliest time of the next write
	shards          [hostlist.ShardCount]*shard
	readingHosts    bool
	nextReadAt      time.Duration
	readStartedAt   time.Duration // when the current read began
	leasesResumed   bool          // lease grants have resumed early, since all members had restarted
	leasesResumedAt time.Duration

	validator       configParser
	proposal        *proposal
	proposalQueue   []*proposal
	queuedBytes     int // size of the queued bodies in bytes
	stopping        bool
	pendingReleases []*wire.Message // of leases that have been given up; sent at releaseAt
	releaseAt       time.Duration
}

// StartState is what a node starts from.
type StartState struct {
	Settings   *settings.Settings
	Log        hclog.Logger
	Identity   store.Identity
	Persistent replica.PersistentState
	Tenures    []string // resources whose owner has held them for long
	Parts      []PartStart
	Random     *rand.Rand
}

// Dropped counts rejected messages, by cause.
type Dropped struct {
	EarlierIncarnation int64 `json:"earlier_life"`    // replies to requests of an earlier incarnation of this process
	NotMember          int64 `json:"not_member"`      // lease requests from processes that are not members
	QuotaNotOwned      int64 `json:"quota_not_owned"` // quota requests for limits of other owners or unknown tenants
	UnknownPart        int64 `json:"unknown_part"`    // messages for parts that this process doesn't have
	OtherFleet         int64 `json:"other_fleet"`     // connections from processes of other fleets
	Oversized          int64 `json:"oversized"`       // frames over the size limit; the connection is closed
	UnknownKind        int64 `json:"unknown_kind"`    // frames with an unknown kind of message; the connection is closed
	NoGreeting         int64 `json:"no_greeting"`     // the first frame was not a Hello; the connection is closed
	Malformed          int64 `json:"malformed"`       // frames that can't be decoded; the connection is closed
}

// CountInvalidFrame counts an invalid frame that ended its connection. Other errors are ignored.
func (n *Node) CountInvalidFrame(err error) {
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

// NewNode creates a node from the stored state.
func NewNode(from StartState, env Environment) *Node {
	s := from.Settings
	n := &Node{settings: s, log: from.Log, env: env, incarnation: from.Random.Uint64() | 1,
		links:        map[string]wire.LinkHandle{},
		inboundPeers: map[string]int{}, forwarded: map[uint64]*forwardedCall{}, counters: newNodeCounters(),
		validator: &validate.Validator{}}
	self := wire.Member{ID: from.Identity.ID, IP: s.IP}
	group := replica.GroupConfig{TargetSize: 2*s.Tolerate.Machines + 1, MemberTimeout: memberTimeout(s)}
	n.replica = replica.New(self, group, from.Persistent, from.Random, n.now())
	n.newParts(from)
	n.granter = lease.NewGranter(longTenure(s), from.Tenures, n.now())
	for i := range n.shards {
		n.shards[i] = newShard(uint32(i), self.ID, n.incarnation, n.now())
	}
	n.log.Info("starting replica", "id", self.ID, "founder", from.Identity.Founder, "term", from.Persistent.Term,
		"entry", from.Persistent.Entry.Position())
	n.syncLinks()
	return n
}

func memberTimeout(s *settings.Settings) time.Duration {
	return max(minMemberTimeout, time.Duration(memberTimeoutShare*s.Bounds.SyncS*float64(time.Second)))
}

func (n *Node) now() time.Duration { return n.env.Now() }

// Reload applies new settings.
func (n *Node) Reload(s *settings.Settings) {
	n.settings = s
	n.syncLinks()
}

// Tick runs everything that depends on time.
func (n *Node) Tick() {
	now := n.now()
	n.replica.Tick(now)
	n.tickParts(now)
	if now >= n.nextJoinAt && n.needsToJoin(now) {
		n.nextJoinAt = now + joinInterval
		n.syncLinks()
		n.requestJoin(now)
	}
	n.tickShards(now)
	n.announceReleases(now)
	n.tickProposals(now)
	if now >= n.nextGroupAt {
		n.nextGroupAt = now + groupInterval
		n.publishGroup()
	}
}

// Flush performs the sends and writes that the replicas have requested. It is called after each event.
func (n *Node) Flush() {
	if role := n.replica.Role(); role != n.lastRole {
		n.log.Info("role changed", "role", role.String(), "term", n.replica.Term())
		n.lastRole = role
		n.counters.roleChanges.Inc()
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
	n.syncMembers()
	n.applyCommitted()
	n.sendMessages() // messages of proposals that the commit has started
	n.resumeLeases()
}

// Saved handles a completed write.
func (n *Node) Saved(s *replica.Save) {
	n.saving = false
	n.replica.Saved(s, n.now())
}

// saveTenures writes the granter's tenures if they have changed since the last write.
func (n *Node) saveTenures() {
	if n.savingTenures || n.now() < n.tenuresRetryAt {
		return
	}
	if t, unsaved := n.granter.UnsavedTenures(); unsaved {
		n.savingTenures = true
		n.env.SaveTenures(t)
	}
}

// TenuresSaved handles the result of that write. A failed write is retried after tenureRetryDelay.
func (n *Node) TenuresSaved(t lease.LongTenures, err error) {
	n.savingTenures = false
	if err != nil {
		n.tenuresRetryAt = n.now() + tenureRetryDelay
		return
	}
	n.granter.TenuresSaved(t)
}

// sendMessages sends the pending messages of all replicas.
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

// applyCommitted decodes a newly committed state and publishes it.
func (n *Node) applyCommitted() {
	committed := n.replica.Committed()
	if committed == nil || committed.Position() == n.statePosition {
		return
	}
	state, err := store.Decode(committed.Value)
	if err != nil {
		n.log.Error("cannot decode committed state", "error", err)
		return
	}
	before := n.state
	if before != nil && state.Revision < before.Revision {
		panic(fmt.Sprintf("control: revision %d was committed after revision %d", state.Revision, before.Revision))
	}
	n.state, n.statePosition = state, committed.Position()
	if before == nil || before.Revision != state.Revision {
		n.log.Info("configuration committed", "revision", state.Revision, "entry", committed.Index)
		n.readLimits(state.Body)
		n.publishConfig()
	}
	n.finishProposal()
}

// readLimits loads tenants and services from a configuration, which was validated before it was accepted.
func (n *Node) readLimits(body []byte) {
	n.tenants, n.services = map[string]*config.Tenant{}, map[string]bool{}
	if len(body) == 0 {
		return // no configuration yet
	}
	c, err := config.Decode(body)
	if err != nil {
		n.log.Error("cannot read committed configuration", "error", err)
		return
	}
	for i := range c.Tenants {
		n.tenants[c.Tenants[i].Name] = &c.Tenants[i]
	}
	for i := range c.Services {
		n.services[c.Services[i].Name] = true
	}
}

// resumeLeases grants leases without delay if all members have just restarted.
func (n *Node) resumeLeases() {
	if n.leasesResumed || !n.replica.AllRestarted() {
		return
	}
	now := n.now()
	n.leasesResumed, n.leasesResumedAt = true, now
	n.granter.Resume(now)
	for _, s := range n.shards {
		s.holder.RetryNow(now)
	}
}

// StartLeaving gives up what other processes can take over at once: the shards, and the leadership once the others have
// everything that was acknowledged. New configurations are refused from then on.
func (n *Node) StartLeaving() {
	n.stopping = true
	now := n.now()
	for _, s := range n.shards {
		if q := s.holder.Release(now); q != nil {
			n.pendingReleases = append(n.pendingReleases, &wire.Message{LeaseRequest: q})
		}
		n.updateOwnership(s, now)
	}
	n.releaseAt = now + quota.MaxDelay // by then all delayed grants have become valid
	for _, r := range n.replicas {
		r.StartLeaving(now)
	}
	n.Flush()
}

// CanStop reports whether the other processes have everything that this node was responsible for.
func (n *Node) CanStop() bool {
	for _, r := range n.replicas {
		if !r.LeaveDone() {
			return false
		}
	}
	return len(n.pendingReleases) == 0 && n.callsInFlight() == 0
}

// announceReleases tells the other members that this node's leases are free.
func (n *Node) announceReleases(now time.Duration) {
	if len(n.pendingReleases) == 0 || now < n.releaseAt {
		return
	}
	for _, m := range n.pendingReleases {
		n.sendToAllLinks(m)
	}
	n.pendingReleases = nil
}
