package proxy

// This file connects package fleet to the peers: one UDP socket, datagrams in and out, the timer, the probes that
// it asks for, and what it is told of requests. It must never decide anything, nor let a datagram delay a request.

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"ivybank/balance"
	"ivybank/fleet"
	"ivybank/fleet/lease"
	"ivybank/fleet/peer"
	"ivybank/fleet/swim"
	"ivybank/proxy/admin"
	"ivybank/proxy/http1"
)

const (
	mostHeard  = 256 // datagrams that are read in a row; more wait for the next tick
	peersApart = 1e9 // between attempts to listen for peers while the address is in use
)

// FleetConfig is the operator's configuration of peers, and their addresses. Times are in nanoseconds.
type FleetConfig struct {
	Name         string
	Listen       string
	Peers        []netip.AddrPort // by member index, including this proxy's own
	Terms        fleet.Terms      // rule sets, tenants and life are filled in here
	ProbePath    string
	ProbeTimeout int64
	Limits       []lease.Limit // fleet-wide
	Voters       int           // the members with a lower index decide who owns a limit
	Drift        int64         // millionths by which a clock may run too fast or too slow
}

// peers is the event loop's state of the peers.
type peers struct {
	FleetConfig
	fleet  *fleet.Fleet
	conn   *net.UDPConn
	raw    syscall.RawConn // the same socket
	timer  *timer
	name   uint32
	asking map[string]bool // hosts that are being probed; removed when the probe ends
	probes *http.Client
	drops  dropped
}

// dropCounts counts dropped datagrams by reason.
type dropped struct {
	Address, Short, Garbled, Version, Fleet, Form, Unsent int64
}

// startPeers begins to listen for peers, with an incarnation no lower than minLife, so that it is above those this
// process had before. If another process of an upgrade still holds the address, listening is retried: until then
// this process decides alone.
func (p *Proxy) openPeers(least uint64, now int64) {
	x := p.start.Fleet
	if x == nil || p.peers != nil || p.drain.begun {
		return
	}
	conn, raw, err := listenPeers(x.Listen)
	if err != nil {
		if !p.deaf {
			logrus.Warnf("cannot listen for peers yet, retrying: %v", err)
		}
		p.deaf = true
		p.after(now, peersApart, func(now int64) { p.openPeers(least, now) })
		return
	}
	p.deaf = false
	t := x.Terms
	t.RuleSets, t.Tenants, t.MaxAdvice, t.Seed = p.terms.RuleSets, p.terms.Tenants, p.terms.MaxRetryAfter, p.terms.Seed^uint64(t.Me)
	t.Life = max(least, swim.LifeOf(now)) // by wall time; if that was set back, peers correct it
	q := &peers{FleetConfig: *x, conn: conn, raw: raw, name: peer.Fleet(x.Name), fleet: fleet.New(t, now), asking: map[string]bool{},
		probes: &http.Client{Timeout: time.Duration(x.ProbeTimeout), Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Duration(p.start.ConnIdle / 2)}}}
	p.peers = q
	p.listPeers(now)
	p.tickPeers(now)
	p.openWorks(now)
	logrus.WithFields(logrus.Fields{"fleet": x.Name, "place": t.Me, "of": t.Of}).Infof("listening for peers on %s", x.Listen)
}

func listenPeers(addr string) (*net.UDPConn, syscall.RawConn, error) {
	at, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, nil, err
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, nil, err
	}
	raw, err := conn.SyscallConn()
	return conn, raw, err
}

// reconfigurePeers applies a new configuration. If it differs, or what load shedding depends on does, the fleet
// state starts anew.
func (p *Proxy) refleet(x *FleetConfig, now int64) {
	p.relimit(x, now)
	least := uint64(0)
	if q := p.peers; q != nil {
		if x != nil && reflect.DeepEqual(q.FleetConfig.but(x), *x) &&
			q.fleet.Same(p.terms.RuleSets, p.terms.Tenants, p.terms.MaxRetryAfter) {
			return
		}
		if x == nil {
			p.leavePeers(now)
		}
		least = swim.After(q.fleet.Members().Life()) // datagram numbers start over
		p.stop(q.timer)
		_ = q.conn.Close()
		q.probes.CloseIdleConnections()
		p.peers = nil
		p.closeWorks()
		p.module.ApplyAdvice(balance.Advice{})
	}
	p.start.Fleet = x
	p.openPeers(least, now)
}

// readDatagrams handles the datagrams that have arrived; those of unknown senders and invalid ones are counted and
// dropped. They are read with the tick, not as they arrive: each wakeup costs more than all the work done in it.
func (p *Proxy) hear(q *peers, now int64) {
	_ = q.raw.Read(func(fd uintptr) bool {
		var b [peer.Most + 1]byte
		for range mostHeard {
			n, from, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_DONTWAIT)
			if err == syscall.EINTR {
				continue
			}
			at, ok := from.(*syscall.SockaddrInet4)
			if err != nil || !ok {
				break
			}
			place := slices.Index(q.Peers, netip.AddrPortFrom(netip.AddrFrom4(at.Addr), uint16(at.Port)))
			if n > 0 && b[0] == lease.Version && place >= 0 {
				p.hearLimits(q, place, b[:n], now)
				continue
			}
			d, err := peer.Decode(q.name, b[:n])
			switch {
			case place < 0, err == nil && d.From != place:
				q.drops.Address++
			case err != nil:
				q.drops.count(err)
			default:
				q.fleet.Heard(&d, now)
			}
		}
		return true // do not wait for more
	})
}

func (x *dropped) count(err error) {
	switch err {
	case peer.ErrShort:
		x.Short++
	case peer.ErrGarbled:
		x.Garbled++
	case peer.ErrVersion:
		x.Version++
	case peer.ErrFleet:
		x.Fleet++
	default:
		x.Form++
	}
}

// tickPeers runs what is due in the fleet.
func (p *Proxy) tickPeers(now int64) {
	q := p.peers
	if q == nil {
		return
	}
	next := q.fleet.Tick(now)
	p.hear(q, now)
	p.carryPeers(now)
	q.timer = p.after(now, max(1e6, next-now), p.tickPeers)
}

// runPeerActions carries out what the fleet decides.
func (p *Proxy) carryPeers(now int64) {
	q := p.peers
	for a, ok := q.fleet.Next(); ok; a, ok = q.fleet.Next() {
		switch a.Kind {
		case fleet.Send:
			b, err := peer.Encode(q.name, &a.Datagram)
			if err == nil && a.To < len(q.Peers) {
				_, err = q.conn.WriteToUDPAddrPort(b, q.Peers[a.To])
			}
			if err != nil {
				q.drops.Unsent++
			}
		case fleet.Probe:
			p.probe(q, a.Server)
		case fleet.Advise:
			p.module.ApplyAdvice(a.Advice)
		case fleet.Teach:
			q.fleet.Answer(a.To, p.module.ServerSnapshots(now), now)
		case fleet.Deliver:
			if p.works != nil {
				p.works.crew.Heard(a.To, a.Letter, now)
				p.carryWorks(now)
			}
		case fleet.Recall:
			p.learnt(a.Told, now)
		case fleet.Tell:
			logrus.WithFields(a.Fields).Info("fleet: " + a.Text)
		}
	}
}

// probeHost checks a host's health off the event loop.
func (p *Proxy) probe(q *peers, id string) {
	h := p.host(id)
	if h == nil || q.asking[id] {
		return
	}
	q.asking[id] = true
	url := fmt.Sprintf("http://%s%s", h.addr, q.ProbePath)
	go func() {
		well := false
		if a, err := q.probes.Get(url); err == nil {
			_ = a.Body.Close()
			well = a.StatusCode == http.StatusOK
		}
		p.post(p.now(), nil, func(at int64) {
			delete(q.asking, id)
			if p.peers == q {
				q.fleet.Probed(id, well, at)
			}
		})
	}()
}

// updatePeerHosts tells the fleet which hosts are in use.
func (p *Proxy) listPeers(now int64) {
	if p.peers == nil {
		return
	}
	ids := make([]string, 0, len(p.hosts))
	for _, h := range p.hosts {
		if h.ready {
			ids = append(ids, h.id)
		}
	}
	p.peers.fleet.Servers(ids, now)
}

// leavePeers tells the peers that this process ends.
func (p *Proxy) leavePeers(now int64) {
	if p.peers != nil {
		p.leaveWorks(now)
		p.peers.fleet.Leave()
		p.carryPeers(now)
	}
}

// shedByFleet reports whether the fleet sheds a request, and for how many ns its client is to back off.
func (p *Proxy) sheds(r *req, now int64) (shed bool, back int64) {
	if p.peers == nil {
		return false, 0
	}
	r.luck = sameness(&r.call)
	set := slices.IndexFunc(p.terms.RuleSets, func(x balance.RuleSet) bool { return x.Name == r.call.RuleSet })
	return p.peers.fleet.Arrive(set, p.terms.Tenant(r.call.Tenant), r.luck, again(&r.call), now)
}

// isRetry reports whether a request is marked as a retry by its client.
func again(c *http1.Call) bool {
	return slices.ContainsFunc(c.Fields, func(f http1.Field) bool { return strings.EqualFold(f.Name, "Client-Retry") && f.Value == "1" })
}

// retryHash returns a number between 0 and 1 that a client's retries share with the first try, and that is the same
// at all proxies.
func sameness(c *http1.Call) float64 {
	const odd = 0x9e3779b97f4a7c15
	h := xxhash.Sum64String(c.RuleSet)
	for _, x := range [...]string{c.Tenant, c.Key, c.Method, c.Target} {
		h = (h ^ xxhash.Sum64String(x)) * odd
		h ^= h >> 29
	}
	h = (h ^ xxhash.Sum64(c.Body)) * odd
	return (float64((h^h>>32)>>11) + 0.5) / (1 << 53)
}

// reportFinal records a final response for the fleet and the service meter.
func (p *Proxy) told(r *req, done bool, now int64) {
	if p.peers == nil && p.comeback == nil {
		return
	}
	set := p.terms.RuleSet(r.call.RuleSet)
	good := done && (set == nil || now-r.taken <= set.ResponseTarget)
	p.measured(set, good, now)
	if p.peers == nil || r.shed {
		return
	}
	if good {
		p.peers.fleet.Done(now)
	} else {
		p.peers.fleet.Lost(r.luck, now)
	}
}

// fleetReply answers an operator's query of the fleet.
func (p *Proxy) fleetReply(now int64) admin.Reply {
	q := p.peers
	if q == nil {
		return admin.Error(http.StatusNotFound, "no peers are heard: the operator file has no [fleet]")
	}
	d := &q.drops
	return asJSON(struct {
		fleet.Status
		Limits  []lease.Status   `json:"limits,omitempty"`
		Dropped map[string]int64 `json:"dropped"`
	}{q.fleet.Status(now), p.limitsStatus(now), map[string]int64{
		"address": d.Address, "short": d.Short, "garbled": d.Garbled, "version": d.Version,
		"fleet": d.Fleet, "form": d.Form, "unsent": d.Unsent}})
}
