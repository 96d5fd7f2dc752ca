// Package control is the control process of a fleet: it replicates the operator's configuration, owns shards of hosts
// and limits while it holds their lease, and feeds the agents. All state belongs to one goroutine, to which everything
// that happens is handed as an event; disk, platform and connections work beside it.
package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"

	"ivybank/config"
	"ivybank/config/validate"
	"ivybank/control/hostlist"
	"ivybank/control/lease"
	"ivybank/control/replica"
	"ivybank/control/store"
	"ivybank/membership"
	"ivybank/settings"
	"ivybank/wire"
)

const (
	tickInterval   = 25 * time.Millisecond
	eventQueue     = 1024
	saveRetryPause = 100 * time.Millisecond
	joinInterval   = 200 * time.Millisecond
	groupInterval  = time.Second
)

// ErrNoDisk says that a control process was started without a data folder.
var ErrNoDisk = errors.New("data_dir is missing: a control process needs a disk")

// Node is one control process.
type Node struct {
	settings *settings.Settings
	log      hclog.Logger
	start    time.Time
	events   chan func()
	folder   *store.Folder
	saves    chan *replica.Save
	saving   bool

	replica     *replica.Replica
	state       *store.State // decoded from the committed entry
	stateAt     replica.Position
	memberSince replica.Position          // entry whose members the granter has seen
	tenants     map[string]*config.Tenant // of the committed configuration
	links       map[string]*peerLink
	callers     map[string]int // connections of other control processes to this one, by IP
	peers       *membership.Service
	granter     *lease.Granter
	shards      [hostlist.Shards]*shard
	reader      *hostlist.Reader
	validator   validate.Validator
	reading     bool
	readAt      time.Duration
	subscribers map[*subscriber]struct{}
	feed        *wire.Config // the committed configuration as it is fed
	feedMessage *wire.Message
	group       *wire.Group
	groupAt     time.Duration
	joinAt      time.Duration
	proposal    *proposal
	queue       []*proposal
	stopping    bool
	resumedAt   time.Duration
	resumed     bool // leases are granted again, as all members had restarted
	wasRole     replica.Role
}

// New reads the disk and makes a node. It serves nothing yet.
func New(s *settings.Settings, log hclog.Logger) (*Node, error) {
	if s.DataDir == "" {
		return nil, ErrNoDisk
	}
	folder, err := store.Open(s.DataDir)
	if err != nil {
		return nil, err
	}
	n := &Node{settings: s, log: log, start: time.Now(), events: make(chan func(), eventQueue), folder: folder,
		saves: make(chan *replica.Save, 1), links: map[string]*peerLink{}, callers: map[string]int{}, subscribers: map[*subscriber]struct{}{},
		reader: hostlist.NewReader(s.Cloud.Address)}
	identity, disk, err := loadIdentity(s, folder)
	if err != nil {
		return nil, err
	}
	self := wire.Member{ID: identity.ID, IP: s.IP}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	n.replica = replica.New(self, 2*s.Tolerate.Machines+1, disk, random, 0)
	n.granter = lease.NewGranter(0)
	for i := range n.shards {
		n.shards[i] = newShard(uint32(i), self.ID)
	}
	log.Info("replica starts", "id", self.ID, "founder", identity.Founder, "term", disk.Term, "has_entry", disk.Entry != nil)
	return n, nil
}

// loadIdentity gives who this process is. At the very first start the machines of the seeds found the group; any
// other process with an empty disk is new, also one at a founder's address.
func loadIdentity(s *settings.Settings, folder *store.Folder) (store.Identity, replica.Disk, error) {
	identity, known, err := folder.Identity()
	if err != nil {
		return identity, replica.Disk{}, err
	}
	founders := foundingMembers(s)
	founding := false
	for _, m := range founders {
		founding = founding || m.IP == s.IP
	}
	if !known {
		identity = store.Identity{ID: s.IP + "/" + strconv.FormatUint(rand.Uint64(), 36)}
		if s.Bootstrap && founding {
			identity = store.Identity{ID: founderID(s.IP), Founder: true}
		}
		if err := folder.SaveIdentity(identity); err != nil {
			return identity, replica.Disk{}, err
		}
	}
	disk, err := folder.Load()
	if err != nil {
		return identity, disk, err
	}
	if disk.Entry == nil && identity.Founder && s.Bootstrap {
		disk.Entry = replica.Found(founders, nil)
	}
	return identity, disk, nil
}

func founderID(ip string) string { return ip + "/founder" }

func foundingMembers(s *settings.Settings) []wire.Member {
	var members []wire.Member
	for _, ip := range s.SeedIPs() {
		members = append(members, wire.Member{ID: founderID(ip), IP: ip})
	}
	return members
}

// Run serves until the context ends, then gives up what it holds. Settings that come over reloads replace the old.
func (n *Node) Run(ctx context.Context, reloads <-chan *settings.Settings) error {
	internal, err := net.Listen("tcp4", net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.InternalPort())))
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	defer internal.Close()
	operator, err := net.Listen("tcp4", n.settings.Listen.Control)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	defer operator.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.peers, err = membership.Listen(membership.Peer{IP: n.settings.IP, Control: true}, n.settings.InternalPort())
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	defer n.peers.Close()
	n.peers.Introduce(true, n.settings.SeedIPs()...)
	go n.peers.Run(ctx)
	go wire.Serve(ctx, internal, func(conn *wire.Conn, hello wire.Hello) { n.accept(ctx, conn, hello) })
	go n.serveOperator(operator)
	go n.writeSaves(ctx)
	n.loop(ctx, reloads)
	return nil
}

// loop is the goroutine that owns the state.
func (n *Node) loop(ctx context.Context, reloads <-chan *settings.Settings) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	n.syncLinks(ctx)
	for {
		select {
		case <-ctx.Done():
			n.resign()
			return
		case event := <-n.events:
			event()
		case n.settings = <-reloads:
			n.peers.Introduce(true, n.settings.SeedIPs()...)
			n.syncLinks(ctx)
		case <-ticker.C:
			n.tick(ctx)
		}
		n.flush(ctx)
	}
}

// do hands an event to the loop.
func (n *Node) do(event func()) { n.events <- event }

func (n *Node) now() time.Duration { return time.Since(n.start) }

func (n *Node) tick(ctx context.Context) {
	now := n.now()
	n.replica.Tick(now)
	if !n.replica.IsMember() && now >= n.joinAt {
		n.joinAt = now + joinInterval
		n.syncLinks(ctx)
		n.toAllLinks(&wire.Message{JoinRequest: &wire.JoinRequest{Member: n.replica.Self()}})
	}
	n.tickShards(ctx, now)
	n.tickProposals(now)
	if now >= n.groupAt {
		n.groupAt = now + groupInterval
		n.publishGroup()
	}
}

// flush carries out what the replica asks for after each event.
func (n *Node) flush(ctx context.Context) {
	if role := n.replica.Role(); role != n.wasRole {
		n.log.Info("role changed", "role", role.String(), "term", n.replica.Term())
		n.wasRole = role
	}
	n.sendMessages()
	if !n.saving {
		if s := n.replica.TakeSave(); s != nil {
			n.saving = true
			n.saves <- s
		}
	}
	n.followMembers(ctx)
	n.followCommit()
	if n.replica.AllRestarted() && !n.resumed {
		n.resumed, n.resumedAt = true, n.now()
		n.granter.Resume(n.now())
		for _, s := range n.shards {
			s.holder.Hurry(n.now())
		}
	}
}

// sendMessages sends what the replica has to say to others.
func (n *Node) sendMessages() {
	for _, e := range n.replica.TakeMessages() {
		if link := n.links[e.To.IP]; link != nil {
			link.Send(e.Message)
		}
	}
}

// writeSaves writes to the disk, one save at a time, until each is done.
func (n *Node) writeSaves(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-n.saves:
			for warned := false; ; warned = true {
				err := n.folder.Save(s)
				if err == nil {
					break
				}
				if !warned {
					n.log.Warn("state not written, trying again", "error", err)
				}
				time.Sleep(saveRetryPause)
			}
			n.do(func() {
				n.saving = false
				n.replica.Saved(s, n.now())
			})
		}
	}
}

// followMembers keeps links, leases and subscribers in step with the members of the newest entry.
func (n *Node) followMembers(ctx context.Context) {
	entry := n.replica.Newest()
	if entry == nil {
		return
	}
	at := replica.Position{Term: entry.Term, Index: entry.Index}
	if at == n.memberSince {
		return
	}
	changed := n.group == nil || !slices.Equal(n.group.Members, n.replica.Members())
	n.memberSince = at
	if changed {
		n.granter.Pause(n.now())
		n.log.Info("members", "entry", entry.Index, "members", n.replica.Members(), "changing", len(entry.Outgoing) > 0)
		n.syncLinks(ctx)
		n.publishGroup()
	}
}

// followCommit takes a newly committed state and feeds it.
func (n *Node) followCommit() {
	committed := n.replica.Committed()
	if committed == nil {
		return
	}
	at := replica.Position{Term: committed.Term, Index: committed.Index}
	if at == n.stateAt {
		return
	}
	state, err := store.Decode(committed.Value)
	if err != nil {
		n.log.Error("committed state unreadable", "error", err)
		return
	}
	before := n.state
	n.state, n.stateAt = state, at
	if before != nil && before.Revision == state.Revision {
		n.finishProposal()
		return
	}
	n.log.Info("configuration committed", "revision", state.Revision, "entry", at.Index)
	n.tenants = tenantsOf(state.Body)
	n.publishConfig()
	n.finishProposal()
}

// tenantsOf reads the tenants of a configuration that was checked when it was taken.
func tenantsOf(body []byte) map[string]*config.Tenant {
	tenants := map[string]*config.Tenant{}
	if c, err := config.Read(body); err == nil {
		for i := range c.Tenants {
			tenants[c.Tenants[i].Name] = &c.Tenants[i]
		}
	}
	return tenants
}

// resign gives up what others may take over at once.
func (n *Node) resign() {
	n.stopping = true
	now := n.now()
	for _, s := range n.shards {
		if q := s.holder.Release(now); q != nil {
			n.toAllLinks(&wire.Message{LeaseRequest: q})
		}
	}
	n.replica.Leave()
	n.replica.Tick(now)
	n.sendMessages()
	time.Sleep(tickInterval) // for the writers of the links
}
