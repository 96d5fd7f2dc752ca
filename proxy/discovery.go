package proxy

// This file keeps the host list up to date by a watch on discovery. It opens a watch when the balancer asks, or
// keeps one open by itself where discovery pushes the list. It must never drop the list it holds because discovery
// is unavailable.

import (
	"bytes"
	"fmt"
	"math"
	"net/http"
	"slices"

	"github.com/lesismal/nbio"
	"github.com/sirupsen/logrus"

	"ivybank/balance"
	"ivybank/proxy/http1"
)

const (
	watchDialTimeoutNs = 1e9 // a connection to discovery that takes longer counts as failed
	// Discovery sends an empty line every 2 s. A watch that is silent for this time plus a random part of the jitter
	// has ended unnoticed and is closed.
	watchTimeoutNs = 3e9
	// Spreads the reconnects, as the watches of all proxies may fall silent at the same time.
	watchTimeoutJitterNs = 1e9
	// This long after its last byte, what was sent on a silent watch counts as delivered.
	silentDeliveryNs = int64(6e9)
	maxListBytes     = 4 << 20
	maxRetryAfterNs  = int64(10e9) // longer Retry-After times of discovery are cut to this
	// No dispatch leaves later than this after the watch was last read to its end.
	maxWatchAgeNs = int64(20e6)
	// A lost watch is reopened after about this time where the balancer does not ask for it.
	reopenDelayNs = 1e9
	// Where discovery pushes the list the delay starts at this and doubles up to reopenDelayNs.
	firstReopenDelayNs = 1e8
)

// discoveryState is the state of the host list and the watch on it.
type discoveryState struct {
	generation  int64
	watch       *watch // nil if none is open or being opened
	notBefore   int64  // discovery asked not to be called before this time
	retryTimer  *timer // fires at notBefore; nil if not pending
	silentSince int64  // time of the last byte of a watch that fell silent; 0 if nothing of it is missing
	failures    int    // watches lost since one received something
}

// watch is one connection to discovery.
type watch struct {
	baseConn
	parser       *http1.ResponseParser // reading goroutine only
	buffer       listBuffer            // reading goroutine only: an incomplete list
	statusOK     bool                  // reading goroutine only: the response head arrived and is a 200
	timeout      *timer
	lastReceived int64 // when it connected or last received something
	hasReceived  bool  // something arrived
	connected    bool  // nb is set
}

// loadKnownHosts applies the host list that was last saved.
func (p *Proxy) loadKnownHosts(text []byte, now int64) {
	list := hostList{Instances: []hostEntry{}}
	if len(text) > 0 {
		var err error
		if list, err = parseHostList(text); err != nil {
			logrus.Warnf("ignoring the saved host list: %v", err)
			p.count.BadLines++
			list = hostList{}
		}
	}
	p.applyList(balance.ListRestored, list, now)
}

// applyList passes a list to the balancer and keeps the addresses.
func (p *Proxy) applyList(form balance.ListForm, list hostList, now int64) {
	p.discovery.generation = list.Generation
	p.noteDiscovery(form, list, now)
	if form != balance.ListUpdate {
		for _, h := range p.hosts {
			h.ready, h.listed = false, false
		}
	}
	servers := make([]balance.Server, 0, len(list.Instances))
	for _, e := range list.Instances {
		s := balance.Server{ID: e.ID, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, Share: e.Weight,
			Since: int64(e.Started * 1e6)}
		switch e.State {
		case "ready":
			s.State = balance.Running
		case "gone":
			s.State = balance.Gone
		default:
			s.State = balance.Draining // also an unknown state: no new dispatches
		}
		p.rememberID(e.ID)
		if h := p.upsertHost(e, s); h != nil {
			s = p.updateHost(h)
		}
		servers = append(servers, s)
	}
	for _, h := range slices.Clone(p.hosts) { // forgetHost removes from p.hosts
		if !h.ready {
			p.closeIdle(h)
			p.forgetHost(h)
		}
	}
	p.balancer.UpdateList(form, servers, now)
	p.updatePeerHosts(now)
}

// upsertHost records a host's address and listed state. It returns nil for a removed host that is not known.
func (p *Proxy) upsertHost(e hostEntry, s balance.Server) *host {
	i, known := p.findHost(e.ID)
	if !known {
		if s.State == balance.Gone {
			return nil
		}
		p.hosts = slices.Insert(p.hosts, i, &host{id: e.ID})
	}
	h := p.hosts[i]
	if h.reported = s; e.Addr != "" && e.Addr != h.addr {
		h.addr = e.Addr
		p.closeIdle(h)
	}
	return h
}

// updateHost refreshes a host's effective state and returns it as the balancer is to see it. Idle connections to an
// earlier process, or to a host that takes no new dispatches, are closed.
func (p *Proxy) updateHost(h *host) balance.Server {
	s := p.effectiveServer(h.reported)
	h.ready, h.listed = s.State == balance.Running, s.State != balance.Gone
	restarted := h.startTime != s.Since
	if h.effective, h.startTime = s, s.Since; restarted || !h.ready {
		p.closeIdle(h)
	}
	return s
}

// moveDiscovery switches to another discovery address and opens a watch at once.
func (p *Proxy) moveDiscovery(addr string, now int64) {
	if addr != p.config.Discovery {
		p.discovery.notBefore, p.discovery.silentSince, p.discovery.failures = 0, 0, 0 // they belong to the old address
		logrus.Infof("discovery address changed from %s to %s", p.config.Discovery, addr)
		p.config.Discovery = addr
		p.openWatch(now)
	}
}

// openWatch opens a watch in place of one that is still open.
func (p *Proxy) openWatch(now int64) {
	if now < p.discovery.notBefore {
		if p.discovery.retryTimer == nil {
			p.discovery.retryTimer = p.after(now, p.discovery.notBefore-now, func(now int64) {
				p.discovery.retryTimer = nil
				p.openWatch(now)
			})
		}
		return
	}
	p.count.Watches++
	if w := p.discovery.watch; w != nil {
		p.endWatch(w, now, false)
	}
	w := &watch{parser: http1.NewChunkParser(maxListBytes)}
	p.discovery.watch = w
	newEndpoint := func(nb *nbio.Conn) endpoint {
		w.nb = nb
		return w
	}
	p.dial(p.config.Discovery, watchDialTimeoutNs, newEndpoint, func(e endpoint, now int64, err error) {
		if w.connected = err == nil; p.discovery.watch != w { // replaced in the meantime
			if w.connected {
				w.close()
			}
			return
		}
		if err != nil {
			p.endWatch(w, now, true)
			return
		}
		target := fmt.Sprintf("/catalog/members?watch=1&from=%d", p.discovery.generation)
		w.write(http1.AppendRequest(nil, http1.Request{Method: http.MethodGet, Target: target}, p.config.Discovery, 0))
		p.resetWatchTimeout(w, now)
	})
}

// subscribe keeps a watch open where discovery pushes the list; there the balancer does not ask for it. It does so
// while the process drains too, as the list still matters to open dispatches and requests that still come.
func (p *Proxy) subscribe(now int64) {
	if !p.terms.ListOnRequest {
		p.ensureWatch(now)
	}
}

// ensureWatch opens a watch unless one is open or being opened.
func (p *Proxy) ensureWatch(now int64) {
	if p.discovery.watch == nil && !p.done {
		p.openWatch(now)
	}
}

// deferWatch obeys a Retry-After of discovery, plus up to a quarter at random, as discovery tells all proxies the
// same. Without recovery settings the balancer alone decides when to retry.
func (p *Proxy) deferWatch(retryAfter, now int64) {
	if p.recovery != nil && retryAfter > 0 {
		p.discovery.notBefore = now + int64(float64(min(retryAfter, maxRetryAfterNs))*(1+p.random.Next()/4))
	}
}

// resetWatchTimeout waits for a watch's next byte.
func (p *Proxy) resetWatchTimeout(w *watch, now int64) {
	p.stop(w.timeout)
	w.lastReceived = now
	timeout := watchTimeoutNs + int64(watchTimeoutJitterNs*p.random.Next())
	w.timeout = p.after(now, timeout, func(now int64) { p.endWatch(w, now, true) })
}

// watchAlive records that a watch is alive. It tells the balancer so once, as discovery may have no list to send:
// otherwise the balancer would ask again, and what is written to this watch meanwhile would be lost with it.
func (p *Proxy) watchAlive(w *watch, now int64) {
	if p.discovery.watch == w {
		if !w.hasReceived {
			p.balancer.UpdateList(balance.ListUpdate, nil, now)
		}
		w.hasReceived, p.discovery.silentSince, p.discovery.failures = true, 0, 0
		p.resetWatchTimeout(w, now)
	}
}

// endWatch closes a watch and, if it failed, arranges for the next one.
func (p *Proxy) endWatch(w *watch, now int64, failed bool) {
	if p.discovery.watch != w {
		return
	}
	p.discovery.watch = nil
	p.stop(w.timeout)
	if w.connected {
		w.close()
	}
	if !failed {
		return
	}
	p.count.WatchesLost++
	p.discovery.failures++
	switch {
	case w.hasReceived && now-w.lastReceived >= watchTimeoutNs:
		// What was sent on it counts as delivered before long, and its timeout was jittered already: reopen at
		// once.
		p.discovery.silentSince = w.lastReceived
		p.openWatch(now)
	case !p.terms.ListOnRequest:
		wait := min(reopenDelayNs, firstReopenDelayNs*math.Pow(2, float64(p.discovery.failures-1)))
		p.after(now, int64(wait*(0.5+p.random.Next())), p.subscribe)
	case p.discovery.silentSince > 0 && now < p.discovery.silentSince+silentDeliveryNs-reopenDelayNs:
		p.after(now, int64(reopenDelayNs*(0.5+p.random.Next())), p.ensureWatch)
	default: // the balancer decides when to ask again
		p.discovery.silentSince = 0
		p.balancer.UpdateList(balance.ListUnavailable, nil, now)
	}
}

// watchRefused ends a watch that discovery refused. If discovery sent a Retry-After, the proxy does not retry
// sooner.
func (p *Proxy) watchRefused(w *watch, retryAfter, now int64) {
	p.deferWatch(retryAfter, now)
	if retryAfter > 0 {
		p.discovery.silentSince = 0
	}
	p.endWatch(w, now, true)
}

// postWatchEvent queues an event of a watch. The event loop handles these before all other events.
func (p *Proxy) postWatchEvent(at int64, w *watch, do func(at int64)) {
	w.pendingEvents.Add(1)
	p.queue(&p.watchEvents, event{at, &w.baseConn, do})
}

// handleWatchEvents handles the queued events of watches.
func (p *Proxy) handleWatchEvents() {
	p.mu.Lock()
	events := p.watchEvents
	p.watchEvents = nil
	p.mu.Unlock()
	p.handleEvents(events)
}

// catchUpWatch handles all that discovery has written by now; what is still in the kernel's buffer of the watch is
// read here, on the event loop. Time in which the process was stopped cannot always be told from idle time, and any
// event may be handled first after it: so every dispatch calls this before its first byte. It returns false if that
// was done less than maxWatchAgeNs ago.
func (p *Proxy) catchUpWatch(now int64) bool {
	if now-p.caughtUpAt < maxWatchAgeNs {
		return false
	}
	p.caughtUpAt = now
	if w := p.discovery.watch; w != nil && w.connected {
		p.pump(w.nb, w, false) // waits for data that a poller has read and not handed over yet
	}
	p.handleWatchEvents()
	return true
}

func (w *watch) onRead(p *Proxy, at int64, b []byte) {
	w.parser.Feed(b)
	for {
		resp, ok, err := w.parser.Next()
		if err != nil || ok && resp.Status != http.StatusOK {
			p.postWatchEvent(at, w, func(at int64) { p.watchRefused(w, resp.RetryAfter, at) })
			return
		}
		if w.statusOK = w.statusOK || ok || w.parser.HeadDone(); w.statusOK {
			p.postWatchEvent(at, w, func(at int64) { p.watchAlive(w, at) })
		}
		if !ok {
			return
		}
		w.buffer.add(resp.Body)
		for bytes.IndexByte(resp.Body, '}') >= 0 { // otherwise no list can be complete
			list, complete, err := w.buffer.next()
			if !complete {
				break
			}
			p.postWatchEvent(at, w, func(at int64) { p.applyLine(w, list, err, at) })
		}
		if len(w.buffer.data) > maxListBytes || !w.parser.HeadDone() { // the response is over or the list too long
			p.postWatchEvent(at, w, func(at int64) { p.endWatch(w, at, true) })
			return
		}
	}
}

// applyLine handles one list of a watch.
func (p *Proxy) applyLine(w *watch, list hostList, err error, now int64) {
	if p.discovery.watch != w {
		return
	}
	p.count.Lines++
	defer p.startAccepting()
	if err != nil {
		p.count.BadLines++
		logrus.Warnf("ignoring a host list line: %v", err)
		return
	}
	form := balance.ListUpdate
	if list.Reset {
		form = balance.ListReplace
	}
	p.applyList(form, list, now)
}

func (w *watch) onEOF(*Proxy, int64) {}

func (w *watch) onClose(p *Proxy, now int64) { p.endWatch(w, now, true) }
