package agent

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"

	"ivybank/internal/figures"
	"ivybank/membership"
	"ivybank/settings"
	"ivybank/wire"
)

const (
	tickInterval = 200 * time.Millisecond
	eventQueue   = 1024
	// lingerShare is the part of the time before the platform's SIGKILL for which an agent waits for its router.
	lingerShare = 0.95
)

// Process is an agent with its sockets.
type Process struct {
	settings *settings.Settings
	log      hclog.Logger
	start    time.Time
	events   chan func()
	agent    *Agent
	peers    *membership.Service
	ctx      context.Context // of all that works beside the loop
}

// New makes a process. It serves nothing yet.
func New(s *settings.Settings, log hclog.Logger) *Process {
	return &Process{settings: s, log: log, start: time.Now(), events: make(chan func(), eventQueue)}
}

// Run serves until the context ends and the router of this machine has ended too, which drains with what is fed here.
// Settings that come over reloads replace the old.
func (p *Process) Run(stopped context.Context, reloads <-chan *settings.Settings) error {
	ctx, end := context.WithCancel(context.WithoutCancel(stopped))
	defer end()
	p.ctx = ctx
	local, err := net.Listen("tcp4", net.JoinHostPort("127.0.0.1", strconv.Itoa(p.settings.LocalPort())))
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	defer local.Close()
	p.peers, err = membership.Listen(membership.Peer{IP: p.settings.IP}, p.settings.InternalPort())
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	defer p.peers.Close()
	p.agent = NewAgent(p.settings, p.log, p)
	served, err := figures.Serve(p.settings.IP, p.settings.Metrics, p.writeFigures)
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	defer served.Close()
	p.peers.OnMessage(p.onDatagram)
	go p.peers.Run(ctx)
	go wire.Serve(ctx, local, p.acceptRouter, p.spoilt)
	p.loop(stopped, reloads)
	return nil
}

// loop is the goroutine that owns the agent's state.
func (p *Process) loop(stopped context.Context, reloads <-chan *settings.Settings) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	stopping := stopped.Done()
	var lastMoment <-chan time.Time
	for stopping != nil || p.agent.Routers() > 0 {
		select {
		case <-stopping:
			stopping = nil
			lastMoment = time.After(time.Duration(lingerShare * p.settings.Bounds.GraceS * float64(time.Second)))
		case <-lastMoment:
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

// Now is the steady clock.
func (p *Process) Now() time.Duration { return time.Since(p.start) }

// KnownControls gives the control processes that peers have told of.
func (p *Process) KnownControls() []string { return p.peers.ControlIPs() }

// Introduce tells peers of control processes.
func (p *Process) Introduce(ips ...string) { p.peers.AddPeers(true, ips...) }

// KnownAgents gives the addresses of agents that peers have told of.
func (p *Process) KnownAgents() []string { return p.peers.AgentIPs() }

// SendDatagram sends a message to another machine's agent.
func (p *Process) SendDatagram(ip string, m *wire.Message) {
	if body, err := m.Encode(); err == nil {
		p.peers.Send(ip, body)
	}
}

// onDatagram hands what another machine's agent says to the loop. It reports false for what can't be read.
func (p *Process) onDatagram(from string, body []byte) bool {
	m, err := wire.Decode(body)
	if err != nil {
		return false
	}
	p.do(func() { p.agent.OnDatagram(from, m) })
	return true
}

// OpenLink keeps a connection to a control process.
func (p *Process) LinkHandle(ip string, hello wire.Hello, events wire.LinkEvents) wire.LinkHandle {
	address := net.JoinHostPort(ip, strconv.Itoa(p.settings.InternalPort()))
	return wire.Open(p.ctx, address, hello, events, p.do)
}

// spoilt tells of a connection over loopback that is no router's.
func (p *Process) spoilt(err error) { p.log.Warn("connection not taken", "error", err) }

func (p *Process) do(event func()) { p.events <- event }

// acceptRouter serves the router of this machine.
func (p *Process) acceptRouter(conn *wire.Conn, _ wire.Hello) {
	defer p.do(func() { p.agent.RouterDisconnected(conn) })
	for {
		m, err := conn.Receive()
		if err != nil {
			return
		}
		p.do(func() { p.agent.OnRouterMessage(conn, m) })
	}
}
