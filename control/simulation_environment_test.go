package control

import (
	"slices"
	"time"

	"ivybank/control/lease"
	"ivybank/control/replica"
	"ivybank/wire"
)

// The environment of a control process.

func (p *nodeProcess) Now() time.Duration { return p.world.now - p.born }

func (p *nodeProcess) Do(event func()) {
	event()
	p.node.Flush()
}

func (p *nodeProcess) Save(s *replica.Save) {
	p.writing, p.doneAt = s, p.world.now+p.world.pace.write()
}

// SaveTenures stores them on the simulated disk after a while, or not at all if the process ends before.
func (p *nodeProcess) SaveTenures(t lease.LongTenures) {
	w, m := p.world, p.machine
	long := slices.Clone(t.Resources)
	w.delayed = append(w.delayed, delayed{w.now + time.Duration(1+w.random.IntN(30))*time.Millisecond, func() {
		if m.node != p {
			return
		}
		m.disk.tenures = long
		p.node.TenuresSaved(t, nil)
		p.node.Flush()
	}, true})
}

func (p *nodeProcess) OpenLink(ip string, hello wire.Hello, events wire.LinkEvents) wire.LinkHandle {
	l := &link{world: p.world, owner: &p.process, to: ip, hello: hello, events: events}
	p.links = append(p.links, l)
	p.world.links = append(p.world.links, l)
	return l
}

func (p *nodeProcess) ReadHosts() {
	p.reading = p.world.now + time.Duration(2+p.world.random.IntN(20))*time.Millisecond
}

func (p *nodeProcess) KnownControlIPs() []string  { return p.world.coreIPs() }
func (p *nodeProcess) UnreadableDatagrams() int64 { return 0 }

// The environment of an agent.

func (p *agentProcess) Now() time.Duration { return p.world.now - p.born }

func (p *agentProcess) OpenLink(ip string, hello wire.Hello, events wire.LinkEvents) wire.LinkHandle {
	l := &link{world: p.world, owner: &p.process, to: ip, hello: hello, events: events}
	p.links = append(p.links, l)
	p.world.links = append(p.world.links, l)
	return l
}

func (p *agentProcess) KnownControlIPs() []string { return p.world.coreIPs() }
func (p *agentProcess) AddControlIPs(...string)   {}

// KnownAgentIPs returns all agents that exist.
func (p *agentProcess) KnownAgentIPs() []string {
	var ips []string
	for _, m := range p.world.machines {
		if !m.core && !m.gone {
			ips = append(ips, m.ip)
		}
	}
	return ips
}

// SendDatagram delivers a datagram unless a machine is down, frozen or partitioned; one in twenty is lost.
func (p *agentProcess) SendDatagram(ip string, m *wire.Message) {
	w, from := p.world, p.machine.ip
	to := w.machineAt(ip)
	if to == nil || w.random.IntN(20) == 0 || w.isCut(from, ip) {
		return
	}
	w.later(time.Duration(1+w.random.IntN(frameDelay))*time.Millisecond, func() {
		if to.agent != nil && to.running(w.now) {
			w.counts.datagrams++
			to.agent.agent.OnDatagram(from, m)
		}
	})
}

// controlIPs returns the addresses of all control machines that exist.
func (w *world) coreIPs() []string {
	var ips []string
	for _, m := range w.machines {
		if m.core && !m.gone {
			ips = append(ips, m.ip)
		}
	}
	return ips
}

func (w *world) machineAt(ip string) *machine {
	for _, m := range w.machines {
		if m.ip == ip {
			return m
		}
	}
	return nil
}
