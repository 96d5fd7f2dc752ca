package control

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"ivybank/agent"
	"ivybank/control/replica"
	"ivybank/control/store"
	"ivybank/settings"
	"ivybank/wire"
)

// The simulation runs whole control processes, agents, routers' draws from limits, and operators on a virtual clock,
// network and disk, driven by one seed. It runs the production code of this package and of package agent, behind their
// Environment interfaces. After each step it checks the invariants; at the end, it checks that everything has
// recovered, and that the operators' calls are linearizable.

const (
	worldStep     = 5 * time.Millisecond
	nodeTick      = 25 * time.Millisecond
	agentTick     = 200 * time.Millisecond
	silenceLimit  = 1200 * time.Millisecond // as in wire.Conn
	frameDelay    = 12                      // in ms, at most, one way
	callPatience  = time.Second             // of an operator
	internalPort  = "7000"
	controlPort   = 8080
	listedHosts   = 6
	agentsOfWorld = 3
	slowEntry     = 250 * time.Millisecond
)

// machine is one machine of a simulation, with its disk.
type machine struct {
	ip       string
	core     bool
	gone     bool // permanently
	goneAt   time.Duration
	disk     coreDisk
	stalled  time.Duration // writes complete no earlier
	downTill time.Duration
	frozen   time.Duration // the process is suspended until then
	wiped    bool          // and not a member again yet
	node     *nodeProcess
	agent    *agentProcess
}

// controlDisk is what a control machine's disk has stored.
type coreDisk struct {
	identity store.Identity
	state    replica.PersistentState
	tenures  []string
	parts    []partDisk // nil before the first write
}

func (m *machine) running(now time.Duration) bool {
	return (m.node != nil || m.agent != nil) && now >= m.frozen
}

// process is the process that a connection belongs to.
type process struct {
	machine *machine
	born    time.Duration
	dead    bool
}

// nodeProcess is one incarnation of a control process.
type nodeProcess struct {
	process
	world   *world
	node    *Node
	handler *operatorHandler
	links   []*link
	writing *replica.Save
	// writingParts is the write of parts in progress, or nil.
	writingParts *partsWrite
	doneAt       time.Duration
	reading      time.Duration // when the host list read in progress ends; 0 for none
	ticked       time.Duration
	leaveBy      time.Duration
	parts        []*connection // connections that others have opened
}

// agentProcess is one incarnation of an agent, with a router beside it.
type agentProcess struct {
	process
	world  *world
	agent  *agent.Agent
	links  []*link
	ticked time.Duration
	router *routerStub
}

// simulation is one simulated deployment.
type world struct {
	t        *testing.T
	seed     uint64
	random   *rand.Rand
	now      time.Duration
	tolerate int
	// guarantees is the setting of that name: with "coord", applications use locks, numbers and keys.
	guarantees []string
	seeds      []string
	machines   []*machine
	links      []*link
	cut        map[[2]string]time.Duration // one way; until when
	slow       map[[2]string]time.Duration // links that take slowEntry for each entry; until when
	held       map[[2]string]time.Duration // one way, links whose frames may be delayed by seconds; until when
	ackLoss    float64
	opers      []*operator
	calls      []call
	calm       bool
	delayed    []delayed

	ackedRevision int64 // the newest that was acknowledged to an operator
	bodies        map[int64]string
	members       []wire.Member // of the newest entry that a leader with a valid lease had committed
	membersAt     replica.Position
	lastLeader    string
	grants        []grantTaken
	counts        worldCounts
	groups        []partGroup   // of the coordination parts; nil without them
	applications  *applications // that use locks, numbers and keys; nil for none
	trace         func(format string, args ...any)
	pace          worldPace
}

// simulationTiming is how long the operations of a simulation take.
type worldPace struct {
	step          time.Duration
	frame         func(from, to string) time.Duration // latency of a frame
	write         func() time.Duration
	firstRedial   time.Duration // pauses between attempts to connect: from this
	longestRedial time.Duration // to this
}

// randomTiming draws the durations of frames, writes and reconnects from wide ranges.
func (w *world) roughPace() worldPace {
	return worldPace{
		step: worldStep,
		frame: func(string, string) time.Duration {
			return time.Duration(1+w.random.IntN(frameDelay)) * time.Millisecond
		},
		write: func() time.Duration {
			longest := 30
			if !w.calm && w.random.IntN(15) == 0 {
				longest = 1000
			}
			return time.Duration(1+w.random.IntN(longest)) * time.Millisecond
		},
		firstRedial:   30 * time.Millisecond,
		longestRedial: 230 * time.Millisecond,
	}
}

// simulationCounts counts what a run has exercised.
type worldCounts struct {
	steps, schedules, wipes, repaired, replaced, restarts, leaderChanges, acked, refused, unknown, reads, redirected, grants, crossed, firstConfigs, datagrams, relayed int
}

func (c *worldCounts) add(o worldCounts) {
	c.steps += o.steps
	c.schedules += o.schedules
	c.wipes += o.wipes
	c.repaired += o.repaired
	c.replaced += o.replaced
	c.restarts += o.restarts
	c.leaderChanges += o.leaderChanges
	c.acked += o.acked
	c.refused += o.refused
	c.unknown += o.unknown
	c.reads += o.reads
	c.redirected += o.redirected
	c.grants += o.grants
	c.crossed += o.crossed
	c.firstConfigs += o.firstConfigs
	c.datagrams += o.datagrams
	c.relayed += o.relayed
}

func newWorld(t *testing.T, seed uint64, tolerate int, guarantees ...string) *world {
	w := &world{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), tolerate: tolerate, guarantees: guarantees,
		cut: map[[2]string]time.Duration{}, slow: map[[2]string]time.Duration{}, held: map[[2]string]time.Duration{}, bodies: map[int64]string{}, trace: func(string, ...any) {}}
	w.pace = w.roughPace()
	size := 2*tolerate + 1
	for i := range size {
		w.addMachine(true)
		if i < 3 {
			w.seeds = append(w.seeds, w.machines[i].ip)
		}
	}
	for range agentsOfWorld {
		w.addMachine(false)
	}
	for range 2 {
		w.opers = append(w.opers, &operator{world: w, number: len(w.opers)})
	}
	for _, m := range w.machines {
		w.boot(m, true)
	}
	return w
}

func (w *world) addMachine(core bool) *machine {
	m := &machine{ip: fmt.Sprintf("10.0.%d.%d", len(w.machines)/200, len(w.machines)%200+1), core: core}
	w.machines = append(w.machines, m)
	return m
}

func (w *world) settingsOf(m *machine, bootstrap bool) *settings.Settings {
	s := &settings.Settings{NodeName: m.ip, IP: m.ip, PortRange: [2]int{7000, 7001}, Bootstrap: bootstrap, DataDir: "simulated"}
	for _, ip := range w.seeds {
		s.Seeds = append(s.Seeds, net.JoinHostPort(ip, fmt.Sprint(controlPort)))
	}
	s.Listen.Control = net.JoinHostPort(m.ip, fmt.Sprint(controlPort))
	s.Tolerate.Machines = w.tolerate
	s.Bounds = settings.Bounds{DrainMS: 3000, GraceS: 8, ConfigMS: 2000, SyncS: 4, QuotaWindowS: 8, QuotaOverage: 0.1, QuotaSlack: 50,
		HistoryS: coordinationHistory.Seconds()}
	s.Guarantees = w.guarantees
	return s
}

// boot starts a machine's process.
func (w *world) boot(m *machine, first bool) {
	life := process{machine: m, born: w.now}
	if !m.core {
		m.agent = &agentProcess{process: life, world: w}
		m.agent.agent = agent.NewAgent(w.settingsOf(m, false), hclog.NewNullLogger(), m.agent)
		m.agent.router = newRouterStub(m.agent)
		return
	}
	s := w.settingsOf(m, first)
	random := rand.New(rand.NewPCG(w.random.Uint64(), w.random.Uint64()))
	if m.disk.identity.ID == "" {
		m.disk.identity = newIdentity(s, first, random)
	}
	state := m.disk.state
	if state.Entry == nil && len(m.disk.identity.Founders) > 0 {
		state.Entry = replica.FoundingEntry(m.disk.identity.Founders, nil)
	}
	p := &nodeProcess{process: life, world: w}
	m.node = p
	p.node = NewNode(StartState{Settings: s, Log: hclog.NewNullLogger(), Identity: m.disk.identity, Persistent: state, Tenures: m.disk.tenures,
		Parts: m.startParts(w), Random: random}, p)
	p.node.validator = plainParser{}
	p.handler = newOperatorHandler(p.node)
}

func (w *world) isCut(from, to string) bool { return w.cut[[2]string{from, to}] > w.now }

// kill ends a machine's process. What it has sent is still delivered, unless the machine loses power too. A write in
// progress is lost or stored; the vote is stored before the entry.
func (w *world) kill(m *machine, power bool) {
	if p := m.node; p != nil {
		p.dead = true
		if s := p.writing; s != nil {
			w.cutShort(m, s)
		}
		if s := p.writingParts; s != nil {
			w.cutPartsShort(m, s.batch)
		}
		w.dropLinks(&p.process, p.links, power)
		for _, c := range p.parts {
			if power {
				c.queue[0] = nil
			}
			c.open[1] = false
		}
		m.node = nil
	}
	if p := m.agent; p != nil {
		p.dead = true
		w.dropLinks(&p.process, p.links, power)
		m.agent = nil
	}
	m.frozen = 0
	m.downTill = w.now + time.Duration(30+w.random.IntN(900))*time.Millisecond
	w.counts.restarts++
}

// cutShort leaves on the disk what an interrupted write has stored.
func (w *world) cutShort(m *machine, s *replica.Save) {
	kept := w.random.IntN(3)
	if kept > 0 {
		m.disk.state.Term, m.disk.state.VotedFor = s.State.Term, s.State.VotedFor
	}
	if kept > 1 {
		m.disk.state = s.State
	}
}

func (w *world) dropLinks(owner *process, links []*link, power bool) {
	for _, l := range links {
		if l.conn != nil {
			l.conn.open[0] = false
			l.conn.queue[0] = nil
			if power {
				l.conn.queue[1] = nil
			}
		}
	}
	w.links = slices.DeleteFunc(w.links, func(l *link) bool {
		return l.owner == owner && (l.conn == nil || len(l.conn.queue[1]) == 0)
	})
}

func (w *world) wipe(m *machine) {
	w.kill(m, true)
	m.disk = coreDisk{}
	m.wiped = true
	w.counts.wipes++
}

// step advances the simulation by one step.
func (w *world) step() {
	w.now += w.pace.step
	w.counts.steps++
	for _, m := range w.machines {
		w.stepMachine(m)
	}
	kept := w.links[:0]
	for _, l := range w.links {
		if l.conn != nil && !l.conn.open[0] && !l.conn.open[1] {
			l.conn = nil
		}
		if l.conn == nil && (l.owner.dead || l.closed) {
			continue
		}
		kept = append(kept, l)
	}
	clear(w.links[len(kept):])
	w.links = kept
	for _, l := range slices.Clone(w.links) {
		if l.conn == nil {
			w.connect(l)
		} else {
			w.carry(l.conn)
			if l.conn != nil && !l.conn.open[0] && len(l.conn.queue[1]) == 0 {
				l.conn.end(1)
				l.conn = nil
			}
		}
	}
	for _, o := range w.opers {
		o.step()
	}
	if w.applications != nil {
		w.applications.step()
	}
	w.check()
}

func (w *world) stepMachine(m *machine) {
	if m.gone {
		return
	}
	if m.node == nil && m.agent == nil {
		if w.now >= m.downTill {
			w.boot(m, false)
		}
		return
	}
	if w.now < m.frozen {
		if m.node != nil {
			m.node.ticked = w.now // process what has arrived meanwhile before the next tick
		}
		return
	}
	if p := m.node; p != nil {
		p.step()
	}
	if p := m.agent; p != nil {
		if w.now >= p.ticked+agentTick {
			p.ticked = w.now
			p.agent.Tick()
		}
		p.router.step()
	}
}

func (p *nodeProcess) step() {
	w, m := p.world, p.machine
	if p.leaveBy != 0 && (p.node.CanStop() || w.now >= p.leaveBy) {
		w.kill(m, false)
		return
	}
	if p.writing != nil && w.now >= max(p.doneAt, m.stalled) {
		s := p.writing
		p.writing = nil
		m.disk.state = s.State
		p.node.Saved(s)
		p.node.Flush()
	}
	p.stepParts()
	if p.reading != 0 && w.now >= p.reading {
		p.reading = 0
		p.node.HostsRead(w.hosts(), nil)
		p.node.Flush()
	}
	if w.now >= p.ticked+nodeTick {
		p.ticked = w.now
		p.node.Tick()
		p.node.Flush()
	}
}

// hosts returns the platform's host list; over time its hosts are replaced.
func (w *world) hosts() []wire.Host {
	var hosts []wire.Host
	generation := int(w.now / (2 * time.Second))
	for i := range listedHosts {
		id := fmt.Sprintf("h%d-%d", i, (generation+i)/listedHosts)
		hosts = append(hosts, wire.Host{ID: id, Service: fmt.Sprintf("service-%d", i%2), Address: "10.9.0.1:80"})
	}
	return hosts
}
