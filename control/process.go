package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"

	"ivybank/control/hostlist"
	"ivybank/control/lease"
	"ivybank/control/replica"
	"ivybank/control/store"
	"ivybank/internal/metrics"
	"ivybank/membership"
	"ivybank/settings"
	"ivybank/wire"
)

const (
	tickInterval   = 25 * time.Millisecond
	eventQueueSize = 1024
	writeQueueSize = 3 // one for each kind of write
	saveRetryDelay = 100 * time.Millisecond
	// leaveTimeShare is the share of grace_s, the time until the platform sends SIGKILL, for which a stopping process
	// waits until the others have everything that was acknowledged.
	leaveTimeShare = 0.3
)

// ErrNoDataDir is returned if a control process is started without data_dir.
var ErrNoDataDir = errors.New("data_dir is not set: a control process needs a data folder")

// Process is a node with its sockets and files. It implements Environment.
type Process struct {
	settings   *settings.Settings
	log        hclog.Logger
	start      time.Time
	events     chan func()
	folder     *store.DataDir
	writes     chan func() // disk writes, run one at a time
	reader     *hostlist.Reader
	startState StartState
	node       *Node
	peers      *membership.Service
	ctx        context.Context // of all goroutines beside the event loop
}

// New reads the stored state. It opens no sockets yet. It returns ErrNoDataDir if data_dir is not set.
func New(s *settings.Settings, log hclog.Logger) (*Process, error) {
	if s.DataDir == "" {
		return nil, ErrNoDataDir
	}
	folder, err := store.Open(s.DataDir)
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	machines := newPartMachines(s)
	disk, err := loadDisk(s, folder, asStateMachines(machines), random, log)
	if err != nil {
		return nil, err
	}
	startState := StartState{Settings: s, Log: log, Identity: disk.identity, Persistent: disk.replica,
		Tenures: disk.tenures, Parts: partStarts(disk.parts, machines), Random: random}
	return &Process{settings: s, log: log, start: time.Now(), events: make(chan func(), eventQueueSize), folder: folder,
		writes: make(chan func(), writeQueueSize), reader: hostlist.NewReader(s.Cloud.Address),
		startState: startState}, nil
}

// Run serves until stopped is done, then hands over what it owns. Settings from reloads replace the current ones.
func (p *Process) Run(stopped context.Context, reloads <-chan *settings.Settings) error {
	internal, err := net.Listen("tcp4", net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.InternalPort())))
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	defer internal.Close()
	operator, err := net.Listen("tcp4", p.settings.Listen.Control)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	defer operator.Close()
	p.peers, err = membership.Listen(membership.Peer{IP: p.settings.IP, Control: true}, p.settings.InternalPort())
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	defer p.peers.Close()
	ctx, cancel := context.WithCancel(context.WithoutCancel(stopped))
	defer cancel()
	p.ctx = ctx
	p.node = NewNode(p.startState, p)
	metricsServer, err := metrics.Serve(p.settings.IP, p.settings.Metrics, p.node.writeMetrics)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	defer metricsServer.Close()
	p.peers.AddPeers(true, p.settings.SeedIPs()...)
	go p.peers.Run(ctx)
	go wire.Serve(ctx, internal, p.accept, p.countInvalidFrame)
	go newOperatorHandler(p.node).serve(operator)
	go p.writeToDisk(ctx)
	p.loop(stopped, reloads)
	return nil
}

// loop is the event loop that owns the node's state. Once stopped is done, it continues for a limited time until the
// others have everything that was acknowledged.
func (p *Process) loop(stopped context.Context, reloads <-chan *settings.Settings) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	stopping := stopped.Done()
	var stopDeadline <-chan time.Time
	for {
		select {
		case <-stopping:
			stopping = nil
			stopDeadline = time.After(time.Duration(leaveTimeShare * p.settings.Bounds.GraceS * float64(time.Second)))
			p.node.StartLeaving()
		case <-stopDeadline:
			return
		case event := <-p.events:
			event()
		case p.settings = <-reloads:
			p.peers.AddPeers(true, p.settings.SeedIPs()...)
			p.node.Reload(p.settings)
		case <-ticker.C:
			p.node.Tick()
		}
		p.node.Flush()
		if stopDeadline != nil && p.node.CanStop() {
			time.Sleep(tickInterval) // lets the links send what is pending
			return
		}
	}
}

// Now returns the monotonic time since the process started.
func (p *Process) Now() time.Duration { return time.Since(p.start) }

// Do runs an event in the event loop.
func (p *Process) Do(event func()) { p.events <- event }

// Save queues a write of the configuration's replica.
func (p *Process) Save(s *replica.Save) {
	p.writes <- func() {
		p.writeUntilDone(func() error { return p.folder.Save(s) })
		p.Do(func() { p.node.Saved(s) })
	}
}

// SaveParts queues a write of the parts.
func (p *Process) SaveParts(b *store.PartsBatch) {
	p.writes <- func() {
		wantsFull := false
		p.writeUntilDone(func() (err error) {
			wantsFull, err = p.folder.SaveParts(b)
			return err
		})
		p.Do(func() { p.node.PartsSaved(b, wantsFull) })
	}
}

// SaveTenures queues a write of the tenures.
func (p *Process) SaveTenures(t lease.LongTenures) {
	p.writes <- func() {
		err := p.folder.SaveLongTenures(t.Resources)
		p.Do(func() { p.node.TenuresSaved(t, err) })
	}
}

// KnownControlIPs returns the addresses of the control processes that were learned from peers.
func (p *Process) KnownControlIPs() []string { return p.peers.ControlIPs() }

// UnreadableDatagrams counts the datagrams that could not be decoded.
func (p *Process) UnreadableDatagrams() int64 { return p.peers.Malformed.Load() }

// OpenLink maintains a connection to a control process.
func (p *Process) OpenLink(ip string, hello wire.Hello, events wire.LinkEvents) wire.LinkHandle {
	return wire.Open(p.ctx, net.JoinHostPort(ip, strconv.Itoa(p.settings.InternalPort())), hello, events, p.Do)
}

// ReadHosts reads the platform's host list in another goroutine.
func (p *Process) ReadHosts() {
	go func() {
		hosts, err := p.reader.Read(p.ctx)
		p.Do(func() { p.node.HostsRead(hosts, err) })
	}()
}

// writeToDisk runs the queued writes, one at a time.
func (p *Process) writeToDisk(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case write := <-p.writes:
			write()
		}
	}
}

func (p *Process) writeUntilDone(write func() error) {
	for warned := false; ; warned = true {
		err := write()
		if err == nil {
			return
		}
		if !warned {
			p.log.Warn("cannot write state; retrying", "error", err)
		}
		time.Sleep(saveRetryDelay)
	}
}

// accept serves an incoming connection, unless it comes from another fleet.
func (p *Process) accept(conn *wire.Conn, hello wire.Hello) {
	foreign := make(chan bool, 1)
	p.Do(func() { foreign <- p.node.FromOtherFleet(hello) })
	if <-foreign {
		return
	}
	if hello.Role == wire.RoleControl {
		p.acceptPeer(conn, wire.Member{ID: hello.Node, IP: hello.IP})
		return
	}
	p.acceptAgent(conn)
}

func (p *Process) acceptPeer(conn *wire.Conn, from wire.Member) {
	p.Do(func() { p.node.PeerConnected(from, conn) })
	defer p.Do(func() { p.node.PeerDisconnected(from) })
	p.receive(conn, func(m *wire.Message) { p.node.OnPeerMessage(from, m) })
}

func (p *Process) acceptAgent(conn *wire.Conn) {
	agent := &subscriber{conn: conn}
	defer p.Do(func() { p.node.AgentDisconnected(agent) })
	p.receive(conn, func(m *wire.Message) { p.node.OnAgentMessage(agent, m) })
}

// receive passes a connection's messages to the event loop until the connection ends.
func (p *Process) receive(conn *wire.Conn, handle func(*wire.Message)) {
	for {
		m, err := conn.Receive()
		if err != nil {
			p.countInvalidFrame(err)
			return
		}
		p.Do(func() { handle(m) })
	}
}

func (p *Process) countInvalidFrame(err error) { p.Do(func() { p.node.CountInvalidFrame(err) }) }
