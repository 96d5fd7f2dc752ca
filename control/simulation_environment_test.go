package control

import (
	"slices"
	"time"

	"ivybank/control/lease"
	"ivybank/control/replica"
	"ivybank/wire"
)

// The environment of a control process.

func (p *nodeProcess) Now() time.Duration { return p.sim.now - p.startedAt }

func (p *nodeProcess) Do(event func()) {
	event()
	p.node.Flush()
}

func (p *nodeProcess) Save(s *replica.Save) {
	p.writing, p.writeDoneAt = s, p.sim.now+p.sim.timing.write()
}

// SaveTenures stores them on the simulated disk after a while, or not at all if the process ends before.
func (p *nodeProcess) SaveTenures(t lease.LongTenures) {
	sim, m := p.sim, p.machine
	long := slices.Clone(t.Resources)
	sim.scheduled = append(sim.scheduled, scheduledEvent{sim.now + time.Duration(1+sim.random.IntN(30))*time.Millisecond,
		func() {
			if m.node != p {
				return
			}
			m.disk.tenures = long
			p.node.TenuresSaved(t, nil)
			p.node.Flush()
		}, true})
}

func (p *nodeProcess) OpenLink(ip string, hello wire.Hello, events wire.LinkEvents) wire.LinkHandle {
	l := &link{sim: p.sim, owner: &p.process, to: ip, hello: hello, events: events}
	p.links = append(p.links, l)
	p.sim.links = append(p.sim.links, l)
	return l
}

func (p *nodeProcess) ReadHosts() {
	p.hostsReadAt = p.sim.now + time.Duration(2+p.sim.random.IntN(20))*time.Millisecond
}

func (p *nodeProcess) KnownControlIPs() []string  { return p.sim.controlIPs() }
func (p *nodeProcess) UnreadableDatagrams() int64 { return 0 }

// The environment of an agent.

func (p *agentProcess) Now() time.Duration { return p.sim.now - p.startedAt }

func (p *agentProcess) OpenLink(ip string, hello wire.Hello, events wire.LinkEvents) wire.LinkHandle {
	l := &link{sim: p.sim, owner: &p.process, to: ip, hello: hello, events: events}
	p.links = append(p.links, l)
	p.sim.links = append(p.sim.links, l)
	return l
}

func (p *agentProcess) KnownControlIPs() []string { return p.sim.controlIPs() }
func (p *agentProcess) AddControlIPs(...string)   {}

// KnownAgentIPs returns all agents that exist.
func (p *agentProcess) KnownAgentIPs() []string {
	var ips []string
	for _, m := range p.sim.machines {
		if !m.control && !m.removed {
			ips = append(ips, m.ip)
		}
	}
	return ips
}

// SendDatagram delivers a datagram unless a machine is down, frozen or partitioned; one in twenty is lost.
func (p *agentProcess) SendDatagram(ip string, m *wire.Message) {
	sim, from := p.sim, p.machine.ip
	to := sim.machineAt(ip)
	if to == nil || sim.random.IntN(20) == 0 || sim.isBlocked(from, ip) {
		return
	}
	sim.schedule(time.Duration(1+sim.random.IntN(maxFrameDelayMS))*time.Millisecond, func() {
		if to.agent != nil && to.running(sim.now) {
			sim.counts.datagrams++
			to.agent.agent.OnDatagram(from, m)
		}
	})
}

// controlIPs returns the addresses of all control machines that exist.
func (sim *simulation) controlIPs() []string {
	var ips []string
	for _, m := range sim.machines {
		if m.control && !m.removed {
			ips = append(ips, m.ip)
		}
	}
	return ips
}

func (sim *simulation) machineAt(ip string) *machine {
	for _, m := range sim.machines {
		if m.ip == ip {
			return m
		}
	}
	return nil
}
