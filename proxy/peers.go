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
	maxDatagramsInRow = 256 // datagrams that are read in a row; more wait for the next tick
	peerListenRetryNs = 1e9 // between attempts to listen for peers while the address is in use
)

// FleetConfig is the operator's configuration of peers, and their addresses. Times are in nanoseconds.
type FleetConfig struct {
	Name         string
	Listen       string
	Peers        []netip.AddrPort // by member index, including this proxy's own
	Terms        fleet.Config     // rule sets, tenants and life are filled in here
	ProbePath    string
	ProbeTimeout int64
	Limits       []lease.Limit // fleet-wide
	Voters       int           // the members with a lower index decide who owns a limit
	Drift        int64         // millionths by which a clock may run too fast or too slow
}

// peers is the event loop's state of the peers.
type peers struct {
	FleetConfig
	fleet       *fleet.Fleet
	conn        *net.UDPConn
	raw         syscall.RawConn // the same socket
	timer       *timer
	fleetID     uint32
	probing     map[string]bool // hosts that are being probed; removed when the probe ends
	probeClient *http.Client
	drops       dropCounts
}

// dropCounts counts dropped datagrams by reason.
type dropCounts struct {
	Address, Short, Garbled, Version, Fleet, Form, Unsent int64
}

// startPeers begins to listen for peers, with an incarnation no lower than minLife, so that it is above those this
// process had before. If another process of an upgrade still holds the address, listening is retried: until then
// this process decides alone.
func (p *Proxy) startPeers(minLife uint64, now int64) {
	cfg := p.config.Fleet
	if cfg == nil || p.peers != nil || p.drain.begun {
		return
	}
	conn, raw, err := listenPeers(cfg.Listen)
	if err != nil {
		if !p.peerAddrInUse {
			logrus.Warnf("cannot listen for peers yet, retrying: %v", err)
		}
		p.peerAddrInUse = true
		p.after(now, peerListenRetryNs, func(now int64) { p.startPeers(minLife, now) })
		return
	}
	p.peerAddrInUse = false
	terms := cfg.Terms
	terms.RuleSets, terms.Tenants, terms.MaxRetryAfter, terms.Seed = p.terms.RuleSets, p.terms.Tenants,
		p.terms.MaxRetryAfter, p.terms.Seed^uint64(terms.Index)
	terms.Incarnation = max(minLife, swim.IncarnationAt(now)) // by wall time; if that was set back, peers correct it
	ps := &peers{FleetConfig: *cfg, conn: conn, raw: raw, fleetID: peer.FleetHash(cfg.Name), fleet: fleet.New(terms, now),
		probing: map[string]bool{},
		probeClient: &http.Client{Timeout: time.Duration(cfg.ProbeTimeout),
			Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Duration(p.config.ConnIdle / 2)}}}
	p.peers = ps
	p.updatePeerHosts(now)
	p.tickPeers(now)
	p.startPlans(now)
	logrus.WithFields(logrus.Fields{"fleet": cfg.Name, "place": terms.Index,
		"of": terms.Members}).Infof("listening for peers on %s", cfg.Listen)
}

func listenPeers(addr string) (*net.UDPConn, syscall.RawConn, error) {
	udpAddr, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, nil, err
	}
	conn, err := net.ListenUDP("udp4", udpAddr)
	if err != nil {
		return nil, nil, err
	}
	raw, err := conn.SyscallConn()
	return conn, raw, err
}

// reconfigurePeers applies a new configuration. If it differs, or what load shedding depends on does, the fleet
// state starts anew.
func (p *Proxy) reconfigurePeers(cfg *FleetConfig, now int64) {
	p.reconfigureLimits(cfg, now)
	minLife := uint64(0)
	if ps := p.peers; ps != nil {
		if cfg != nil && reflect.DeepEqual(ps.FleetConfig.withLimitsOf(cfg), *cfg) &&
			ps.fleet.SameConfig(p.terms.RuleSets, p.terms.Tenants, p.terms.MaxRetryAfter) {
			return
		}
		if cfg == nil {
			p.leavePeers(now)
		}
		minLife = swim.NextIncarnation(ps.fleet.Membership().Incarnation()) // datagram numbers start over
		p.stop(ps.timer)
		_ = ps.conn.Close()
		ps.probeClient.CloseIdleConnections()
		p.peers = nil
		p.stopPlans()
		p.balancer.ApplyAdvice(balance.Advice{})
	}
	p.config.Fleet = cfg
	p.startPeers(minLife, now)
}

// readDatagrams handles the datagrams that have arrived; those of unknown senders and invalid ones are counted and
// dropped. They are read with the tick, not as they arrive: each wakeup costs more than all the work done in it.
func (p *Proxy) readDatagrams(ps *peers, now int64) {
	_ = ps.raw.Read(func(fd uintptr) bool {
		var b [peer.MaxDatagramBytes + 1]byte
		for range maxDatagramsInRow {
			n, from, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_DONTWAIT)
			if err == syscall.EINTR {
				continue
			}
			sender, ok := from.(*syscall.SockaddrInet4)
			if err != nil || !ok {
				break
			}
			member := slices.Index(ps.Peers, netip.AddrPortFrom(netip.AddrFrom4(sender.Addr), uint16(sender.Port)))
			if n > 0 && b[0] == lease.Version && member >= 0 {
				p.handleLimitDatagram(ps, member, b[:n], now)
				continue
			}
			d, err := peer.Decode(ps.fleetID, b[:n])
			switch {
			case member < 0, err == nil && d.From != member:
				ps.drops.Address++
			case err != nil:
				ps.drops.count(err)
			default:
				ps.fleet.Receive(&d, now)
			}
		}
		return true // do not wait for more
	})
}

func (d *dropCounts) count(err error) {
	switch err {
	case peer.ErrLength:
		d.Short++
	case peer.ErrChecksum:
		d.Garbled++
	case peer.ErrVersion:
		d.Version++
	case peer.ErrFleet:
		d.Fleet++
	default:
		d.Form++
	}
}

// tickPeers runs what is due in the fleet.
func (p *Proxy) tickPeers(now int64) {
	ps := p.peers
	if ps == nil {
		return
	}
	next := ps.fleet.Tick(now)
	p.readDatagrams(ps, now)
	p.runPeerActions(now)
	ps.timer = p.after(now, max(1e6, next-now), p.tickPeers)
}

// runPeerActions carries out what the fleet decides.
func (p *Proxy) runPeerActions(now int64) {
	ps := p.peers
	for action, ok := ps.fleet.Next(); ok; action, ok = ps.fleet.Next() {
		switch action.Kind {
		case fleet.Send:
			b, err := peer.Encode(ps.fleetID, &action.Datagram)
			if err == nil && action.To < len(ps.Peers) {
				_, err = ps.conn.WriteToUDPAddrPort(b, ps.Peers[action.To])
			}
			if err != nil {
				ps.drops.Unsent++
			}
		case fleet.Probe:
			p.probeHost(ps, action.Server)
		case fleet.Advise:
			p.balancer.ApplyAdvice(action.Advice)
		case fleet.AnswerQuery:
			ps.fleet.SendBeliefs(action.To, p.balancer.ServerSnapshots(now), now)
		case fleet.Deliver:
			if p.plans != nil {
				p.plans.coordinator.Receive(action.To, action.Message, now)
				p.runPlanActions(now)
			}
		case fleet.ApplyPeerReports:
			p.learnFromPeers(action.Reports, now)
		case fleet.Log:
			logrus.WithFields(action.Fields).Info("fleet: " + action.Text)
		}
	}
}

// probeHost checks a host's health off the event loop.
func (p *Proxy) probeHost(ps *peers, id string) {
	h := p.host(id)
	if h == nil || ps.probing[id] {
		return
	}
	ps.probing[id] = true
	url := fmt.Sprintf("http://%s%s", h.addr, ps.ProbePath)
	go func() {
		healthy := false
		if resp, err := ps.probeClient.Get(url); err == nil {
			_ = resp.Body.Close()
			healthy = resp.StatusCode == http.StatusOK
		}
		p.post(p.now(), nil, func(at int64) {
			delete(ps.probing, id)
			if p.peers == ps {
				ps.fleet.ProbeEnded(id, healthy, at)
			}
		})
	}()
}

// updatePeerHosts tells the fleet which hosts are in use.
func (p *Proxy) updatePeerHosts(now int64) {
	if p.peers == nil {
		return
	}
	ids := make([]string, 0, len(p.hosts))
	for _, h := range p.hosts {
		if h.ready {
			ids = append(ids, h.id)
		}
	}
	p.peers.fleet.SetServers(ids, now)
}

// leavePeers tells the peers that this process ends.
func (p *Proxy) leavePeers(now int64) {
	if p.peers != nil {
		p.handOverPlans(now)
		p.peers.fleet.Leave()
		p.runPeerActions(now)
	}
}

// shedByFleet reports whether the fleet sheds a request, and for how many ns its client is to back off.
func (p *Proxy) shedByFleet(r *request, now int64) (shed bool, retryAfter int64) {
	if p.peers == nil {
		return false, 0
	}
	r.retryHash = retryHash(&r.msg)
	ruleSet := slices.IndexFunc(p.terms.RuleSets, func(x balance.RuleSet) bool { return x.Name == r.msg.RuleSet })
	return p.peers.fleet.Admit(ruleSet, p.terms.Tenant(r.msg.Tenant), r.retryHash, isRetry(&r.msg), now)
}

// isRetry reports whether a request is marked as a retry by its client.
func isRetry(msg *http1.Request) bool {
	return slices.ContainsFunc(msg.Fields, func(f http1.Field) bool {
		return strings.EqualFold(f.Name,
			"Client-Retry") && f.Value == "1"
	})
}

// retryHash returns a number between 0 and 1 that a client's retries share with the first try, and that is the same
// at all proxies.
func retryHash(msg *http1.Request) float64 {
	const multiplier = 0x9e3779b97f4a7c15
	h := xxhash.Sum64String(msg.RuleSet)
	for _, x := range [...]string{msg.Tenant, msg.Key, msg.Method, msg.Target} {
		h = (h ^ xxhash.Sum64String(x)) * multiplier
		h ^= h >> 29
	}
	h = (h ^ xxhash.Sum64(msg.Body)) * multiplier
	return (float64((h^h>>32)>>11) + 0.5) / (1 << 53)
}

// reportFinal records a final response for the fleet and the service meter.
func (p *Proxy) reportFinal(r *request, done bool, now int64) {
	if p.peers == nil && p.recovery == nil {
		return
	}
	ruleSet := p.terms.RuleSet(r.msg.RuleSet)
	good := done && (ruleSet == nil || now-r.receivedAt <= ruleSet.ResponseTarget)
	p.recordService(ruleSet, good, now)
	if p.peers == nil || r.denied {
		return
	}
	if good {
		p.peers.fleet.ServedInTime(now)
	} else {
		p.peers.fleet.Missed(r.retryHash, now)
	}
}

// fleetReply answers an operator's query of the fleet.
func (p *Proxy) fleetReply(now int64) admin.Reply {
	ps := p.peers
	if ps == nil {
		return admin.Error(http.StatusNotFound, "no peers are heard: the operator file has no [fleet]")
	}
	d := &ps.drops
	return jsonReply(struct {
		fleet.Status
		Limits  []lease.Status   `json:"limits,omitempty"`
		Dropped map[string]int64 `json:"dropped"`
	}{ps.fleet.Status(now), p.limitsStatus(now), map[string]int64{
		"address": d.Address, "short": d.Short, "garbled": d.Garbled, "version": d.Version,
		"fleet": d.Fleet, "form": d.Form, "unsent": d.Unsent}})
}
