package agent

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"

	"ivybank/internal/metrics"
	"ivybank/membership"
	"ivybank/settings"
	"ivybank/wire"
)

const (
	tickInterval   = 200 * time.Millisecond
	eventQueueSize = 1024
	// lingerShare is the part of the grace period before the platform's SIGKILL for which an agent waits for its
	// router to end.
	lingerShare = 0.95
)

// Process runs an agent with its sockets.
type Process struct {
	settings  *settings.Settings
	log       hclog.Logger
	startTime time.Time
	events    chan func()
	agent     *Agent
	peers     *membership.Service
	ctx       context.Context // of everything that runs beside the event loop
}

// NewProcess returns a process that does not serve yet.
func NewProcess(s *settings.Settings, log hclog.Logger) *Process {
	return &Process{settings: s, log: log, startTime: time.Now(), events: make(chan func(), eventQueueSize)}
}

// Run serves until the context has ended and the router of this machine has disconnected, because the router still
// needs its feed while it drains. Settings received from reloads replace the current ones.
func (p *Process) Run(stopCtx context.Context, reloads <-chan *settings.Settings) error {
	ctx, end := context.WithCancel(context.WithoutCancel(stopCtx))
	defer end()
	p.ctx = ctx
	listener, err := net.Listen("tcp4", net.JoinHostPort("127.0.0.1", strconv.Itoa(p.settings.LocalPort())))
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	defer listener.Close()
	p.peers, err = membership.Listen(membership.Peer{IP: p.settings.IP}, p.settings.InternalPort())
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	defer p.peers.Close()
	p.agent = NewAgent(p.settings, p.log, p)
	metricsServer, err := metrics.Serve(p.settings.IP, p.settings.Metrics, p.writeMetrics)
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	defer metricsServer.Close()
	p.peers.OnMessage(p.onDatagram)
	go p.peers.Run(ctx)
	go wire.Serve(ctx, listener, p.serveRouter, p.logInvalidConn)
	p.loop(stopCtx, reloads)
	return nil
}

// loop runs in the goroutine that owns the agent's state.
func (p *Process) loop(stopCtx context.Context, reloads <-chan *settings.Settings) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	stopping := stopCtx.Done()
	var lingerTimeout <-chan time.Time
	for stopping != nil || p.agent.RouterCount() > 0 {
		select {
		case <-stopping:
			stopping = nil
			lingerTimeout = time.After(time.Duration(lingerShare * p.settings.Bounds.GraceS * float64(time.Second)))
		case <-lingerTimeout:
			return
		case event := <-p.events:
			event()
		case p.settings = <-reloads:
			p.agent.Reload(p.settings)
		case <-ticker.C:
			p.agent.Tick()
		}
	}
}

// Now returns the time on a monotonic clock, counted from the start of the process.
func (p *Process) Now() time.Duration { return time.Since(p.startTime) }

// KnownControlIPs returns the addresses of control processes that peers have reported.
func (p *Process) KnownControlIPs() []string { return p.peers.ControlIPs() }

// AddControlIPs adds control processes to those that are reported to peers.
func (p *Process) AddControlIPs(ips ...string) { p.peers.AddPeers(true, ips...) }

// KnownAgentIPs returns the addresses of agents that peers have reported.
func (p *Process) KnownAgentIPs() []string { return p.peers.AgentIPs() }

// SendDatagram sends a message to the agent of another machine.
func (p *Process) SendDatagram(ip string, m *wire.Message) {
	if body, err := m.Encode(); err == nil {
		p.peers.Send(ip, body)
	}
}

// onDatagram queues a message from the agent of another machine. It reports false if the datagram cannot be decoded.
func (p *Process) onDatagram(from string, body []byte) bool {
	m, err := wire.Decode(body)
	if err != nil {
		return false
	}
	p.enqueue(func() { p.agent.OnDatagram(from, m) })
	return true
}

// OpenLink opens a connection to a control process and keeps it up.
func (p *Process) OpenLink(ip string, hello wire.Hello, events wire.LinkEvents) wire.LinkHandle {
	address := net.JoinHostPort(ip, strconv.Itoa(p.settings.InternalPort()))
	return wire.Open(p.ctx, address, hello, events, p.enqueue)
}

// logInvalidConn logs a loopback connection that does not come from a router.
func (p *Process) logInvalidConn(err error) { p.log.Warn("connection rejected", "error", err) }

func (p *Process) enqueue(event func()) { p.events <- event }

// serveRouter serves the connection of the router of this machine.
func (p *Process) serveRouter(conn *wire.Conn, _ wire.Hello) {
	defer p.enqueue(func() { p.agent.RouterDisconnected(conn) })
	for {
		m, err := conn.Receive()
		if err != nil {
			return
		}
		p.enqueue(func() { p.agent.OnRouterMessage(conn, m) })
	}
}
