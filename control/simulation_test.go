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
	simulationStep  = 5 * time.Millisecond
	nodeTick        = 25 * time.Millisecond
	agentTick       = 200 * time.Millisecond
	silenceLimit    = 1200 * time.Millisecond // as in wire.Conn
	maxFrameDelayMS = 12                      // in ms, at most, one way
	operatorTimeout = time.Second             // of an operator
	internalPort    = "7000"
	controlPort     = 8080
	listedHosts     = 6
	agentCount      = 3
	slowEntry       = 250 * time.Millisecond
)

// machine is one machine of a simulation, with its disk.
type machine struct {
	ip                 string
	control            bool
	removed            bool // permanently
	removedAt          time.Duration
	disk               controlDisk
	diskStalledUntil   time.Duration // writes complete no earlier
	downUntil          time.Duration
	frozenUntil        time.Duration // the process is suspended until then
	awaitingMembership bool          // and not a member again yet
	node               *nodeProcess
	agent              *agentProcess
}

// controlDisk is what a control machine's disk has stored.
type controlDisk struct {
	identity store.Identity
	state    replica.PersistentState
	tenures  []string
	parts    []partDisk // nil before the first write
}

func (m *machine) running(now time.Duration) bool {
	return (m.node != nil || m.agent != nil) && now >= m.frozenUntil
}

// process is the process that a connection belongs to.
type process struct {
	machine   *machine
	startedAt time.Duration
	dead      bool
}

// nodeProcess is one incarnation of a control process.
type nodeProcess struct {
	process
	sim     *simulation
	node    *Node
	handler *operatorHandler
	links   []*link
	writing *replica.Save
	// writingParts is the write of parts in progress, or nil.
	writingParts *partsWrite
	writeDoneAt  time.Duration
	hostsReadAt  time.Duration // when the host list read in progress ends; 0 for none
	lastTick     time.Duration
	stopBy       time.Duration
	inbound      []*connection // connections that others have opened
}

// agentProcess is one incarnation of an agent, with a router beside it.
type agentProcess struct {
	process
	sim      *simulation
	agent    *agent.Agent
	links    []*link
	lastTick time.Duration
	router   *routerStub
}

// simulation is one simulated deployment.
type simulation struct {
	t        *testing.T
	seed     uint64
	random   *rand.Rand
	now      time.Duration
	tolerate int
	// guarantees is the setting of that name: with "coord", applications use locks, numbers and keys.
	guarantees    []string
	seeds         []string
	machines      []*machine
	links         []*link
	blocked       map[[2]string]time.Duration // one way; until when
	slowLinks     map[[2]string]time.Duration // links that take slowEntry for each entry; until when
	delayedLinks  map[[2]string]time.Duration // one way, links whose frames may be delayed by seconds; until when
	ackLoss       float64
	operators     []*operator
	operatorCalls []callRecord
	noFaults      bool
	scheduled     []scheduledEvent

	ackedRevision   int64 // the newest that was acknowledged to an operator
	bodies          map[int64]string
	members         []wire.Member // of the newest entry that a leader with a valid lease had committed
	membersPosition replica.Position
	lastLeader      string
	grants          []grantReceived
	counts          simulationCounts
	partGroups      []partGroup   // of the coordination parts; nil without them
	applications    *applications // that use locks, numbers and keys; nil for none
	trace           func(format string, args ...any)
	timing          simulationTiming
}

// simulationTiming is how long the operations of a simulation take.
type simulationTiming struct {
	step          time.Duration
	frame         func(from, to string) time.Duration // latency of a frame
	write         func() time.Duration
	firstRedial   time.Duration // pauses between attempts to connect: from this
	longestRedial time.Duration // to this
}

// randomTiming draws the durations of frames, writes and reconnects from wide ranges.
func (sim *simulation) randomTiming() simulationTiming {
	return simulationTiming{
		step: simulationStep,
		frame: func(string, string) time.Duration {
			return time.Duration(1+sim.random.IntN(maxFrameDelayMS)) * time.Millisecond
		},
		write: func() time.Duration {
			longest := 30
			if !sim.noFaults && sim.random.IntN(15) == 0 {
				longest = 1000
			}
			return time.Duration(1+sim.random.IntN(longest)) * time.Millisecond
		},
		firstRedial:   30 * time.Millisecond,
		longestRedial: 230 * time.Millisecond,
	}
}

// simulationCounts counts what a run has exercised.
type simulationCounts struct {
	steps, schedules, wipedDisks, rejoined, replaced, restarts, leaderChanges, acked, refused, unknown, reads,
	redirected, grants, staleGrants, firstConfigs, datagrams, relayed int
}

func (c *simulationCounts) add(o simulationCounts) {
	c.steps += o.steps
	c.schedules += o.schedules
	c.wipedDisks += o.wipedDisks
	c.rejoined += o.rejoined
	c.replaced += o.replaced
	c.restarts += o.restarts
	c.leaderChanges += o.leaderChanges
	c.acked += o.acked
	c.refused += o.refused
	c.unknown += o.unknown
	c.reads += o.reads
	c.redirected += o.redirected
	c.grants += o.grants
	c.staleGrants += o.staleGrants
	c.firstConfigs += o.firstConfigs
	c.datagrams += o.datagrams
	c.relayed += o.relayed
}

func newSimulation(t *testing.T, seed uint64, tolerate int, guarantees ...string) *simulation {
	sim := &simulation{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), tolerate: tolerate,
		guarantees: guarantees,
		blocked:    map[[2]string]time.Duration{}, slowLinks: map[[2]string]time.Duration{},
		delayedLinks: map[[2]string]time.Duration{}, bodies: map[int64]string{}, trace: func(string, ...any) {}}
	sim.timing = sim.randomTiming()
	size := 2*tolerate + 1
	for i := range size {
		sim.addMachine(true)
		if i < 3 {
			sim.seeds = append(sim.seeds, sim.machines[i].ip)
		}
	}
	for range agentCount {
		sim.addMachine(false)
	}
	for range 2 {
		sim.operators = append(sim.operators, &operator{sim: sim, number: len(sim.operators)})
	}
	for _, m := range sim.machines {
		sim.boot(m, true)
	}
	return sim
}

func (sim *simulation) addMachine(control bool) *machine {
	m := &machine{ip: fmt.Sprintf("10.0.%d.%d", len(sim.machines)/200, len(sim.machines)%200+1), control: control}
	sim.machines = append(sim.machines, m)
	return m
}

func (sim *simulation) settingsOf(m *machine, bootstrap bool) *settings.Settings {
	s := &settings.Settings{NodeName: m.ip, IP: m.ip, PortRange: [2]int{7000, 7001}, Bootstrap: bootstrap,
		DataDir: "simulated"}
	for _, ip := range sim.seeds {
		s.Seeds = append(s.Seeds, net.JoinHostPort(ip, fmt.Sprint(controlPort)))
	}
	s.Listen.Control = net.JoinHostPort(m.ip, fmt.Sprint(controlPort))
	s.Tolerate.Machines = sim.tolerate
	s.Bounds = settings.Bounds{DrainMS: 3000, GraceS: 8, ConfigMS: 2000, SyncS: 4, QuotaWindowS: 8, QuotaOverage: 0.1,
		QuotaSlack: 50, HistoryS: coordinationHistory.Seconds()}
	s.Guarantees = sim.guarantees
	return s
}

// boot starts a machine's process.
func (sim *simulation) boot(m *machine, first bool) {
	base := process{machine: m, startedAt: sim.now}
	if !m.control {
		m.agent = &agentProcess{process: base, sim: sim}
		m.agent.agent = agent.NewAgent(sim.settingsOf(m, false), hclog.NewNullLogger(), m.agent)
		m.agent.router = newRouterStub(m.agent)
		return
	}
	s := sim.settingsOf(m, first)
	random := rand.New(rand.NewPCG(sim.random.Uint64(), sim.random.Uint64()))
	if m.disk.identity.ID == "" {
		m.disk.identity = newIdentity(s, first, random)
	}
	state := m.disk.state
	if state.Entry == nil && len(m.disk.identity.Founders) > 0 {
		state.Entry = replica.FoundingEntry(m.disk.identity.Founders, nil)
	}
	p := &nodeProcess{process: base, sim: sim}
	m.node = p
	p.node = NewNode(StartState{Settings: s, Log: hclog.NewNullLogger(), Identity: m.disk.identity, Persistent: state,
		Tenures: m.disk.tenures, Parts: m.startParts(sim), Random: random}, p)
	p.node.validator = plainParser{}
	p.handler = newOperatorHandler(p.node)
}

func (sim *simulation) isBlocked(from, to string) bool {
	return sim.blocked[[2]string{from, to}] > sim.now
}

// kill ends a machine's process. What it has sent is still delivered, unless the machine loses power too. A write in
// progress is lost or stored; the vote is stored before the entry.
func (sim *simulation) kill(m *machine, powerLoss bool) {
	if p := m.node; p != nil {
		p.dead = true
		if s := p.writing; s != nil {
			sim.cutShort(m, s)
		}
		if s := p.writingParts; s != nil {
			sim.cutPartsShort(m, s.batch)
		}
		sim.dropLinks(&p.process, p.links, powerLoss)
		for _, c := range p.inbound {
			if powerLoss {
				c.queue[0] = nil
			}
			c.open[1] = false
		}
		m.node = nil
	}
	if p := m.agent; p != nil {
		p.dead = true
		sim.dropLinks(&p.process, p.links, powerLoss)
		m.agent = nil
	}
	m.frozenUntil = 0
	m.downUntil = sim.now + time.Duration(30+sim.random.IntN(900))*time.Millisecond
	sim.counts.restarts++
}

// cutShort leaves on the disk what an interrupted write has stored.
func (sim *simulation) cutShort(m *machine, s *replica.Save) {
	stage := sim.random.IntN(3)
	if stage > 0 {
		m.disk.state.Term, m.disk.state.VotedFor = s.State.Term, s.State.VotedFor
	}
	if stage > 1 {
		m.disk.state = s.State
	}
}

func (sim *simulation) dropLinks(owner *process, links []*link, powerLoss bool) {
	for _, l := range links {
		if l.conn != nil {
			l.conn.open[0] = false
			l.conn.queue[0] = nil
			if powerLoss {
				l.conn.queue[1] = nil
			}
		}
	}
	sim.links = slices.DeleteFunc(sim.links, func(l *link) bool {
		return l.owner == owner && (l.conn == nil || len(l.conn.queue[1]) == 0)
	})
}

func (sim *simulation) wipeDisk(m *machine) {
	sim.kill(m, true)
	m.disk = controlDisk{}
	m.awaitingMembership = true
	sim.counts.wipedDisks++
}

// step advances the simulation by one step.
func (sim *simulation) step() {
	sim.now += sim.timing.step
	sim.counts.steps++
	for _, m := range sim.machines {
		sim.stepMachine(m)
	}
	kept := sim.links[:0]
	for _, l := range sim.links {
		if l.conn != nil && !l.conn.open[0] && !l.conn.open[1] {
			l.conn = nil
		}
		if l.conn == nil && (l.owner.dead || l.closed) {
			continue
		}
		kept = append(kept, l)
	}
	clear(sim.links[len(kept):])
	sim.links = kept
	for _, l := range slices.Clone(sim.links) {
		if l.conn == nil {
			sim.connect(l)
		} else {
			sim.carry(l.conn)
			if l.conn != nil && !l.conn.open[0] && len(l.conn.queue[1]) == 0 {
				l.conn.end(1)
				l.conn = nil
			}
		}
	}
	for _, o := range sim.operators {
		o.step()
	}
	if sim.applications != nil {
		sim.applications.step()
	}
	sim.checkInvariants()
}

func (sim *simulation) stepMachine(m *machine) {
	if m.removed {
		return
	}
	if m.node == nil && m.agent == nil {
		if sim.now >= m.downUntil {
			sim.boot(m, false)
		}
		return
	}
	if sim.now < m.frozenUntil {
		if m.node != nil {
			m.node.lastTick = sim.now // process what has arrived meanwhile before the next tick
		}
		return
	}
	if p := m.node; p != nil {
		p.step()
	}
	if p := m.agent; p != nil {
		if sim.now >= p.lastTick+agentTick {
			p.lastTick = sim.now
			p.agent.Tick()
		}
		p.router.step()
	}
}

func (p *nodeProcess) step() {
	sim, m := p.sim, p.machine
	if p.stopBy != 0 && (p.node.CanStop() || sim.now >= p.stopBy) {
		sim.kill(m, false)
		return
	}
	if p.writing != nil && sim.now >= max(p.writeDoneAt, m.diskStalledUntil) {
		s := p.writing
		p.writing = nil
		m.disk.state = s.State
		p.node.Saved(s)
		p.node.Flush()
	}
	p.stepParts()
	if p.hostsReadAt != 0 && sim.now >= p.hostsReadAt {
		p.hostsReadAt = 0
		p.node.HostsRead(sim.hosts(), nil)
		p.node.Flush()
	}
	if sim.now >= p.lastTick+nodeTick {
		p.lastTick = sim.now
		p.node.Tick()
		p.node.Flush()
	}
}

// hosts returns the platform's host list; over time its hosts are replaced.
func (sim *simulation) hosts() []wire.Host {
	var hosts []wire.Host
	generation := int(sim.now / (2 * time.Second))
	for i := range listedHosts {
		id := fmt.Sprintf("h%d-%d", i, (generation+i)/listedHosts)
		hosts = append(hosts, wire.Host{ID: id, Service: fmt.Sprintf("service-%d", i%2), Address: "10.9.0.1:80"})
	}
	return hosts
}
