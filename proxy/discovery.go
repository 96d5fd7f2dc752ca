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
	watchDial = 1e9 // a connection to discovery that takes longer counts as failed
	// Discovery sends an empty line every 2 s. A watch that is silent for this time plus a random part of the jitter
	// has ended unnoticed and is closed.
	watchSilence = 3e9
	// Spreads the reconnects, as the watches of all proxies may fall silent at the same time.
	silenceApart = 1e9
	// This long after its last byte, what was sent on a silent watch counts as delivered.
	silenceTold = int64(6e9)
	mostList    = 4 << 20
	mostPutOff  = int64(10e9) // longer Retry-After times of discovery are cut to this
	// No dispatch leaves later than this after the watch was last read to its end.
	stale = int64(20e6)
	// A lost watch is reopened after about this time where the balancer does not ask for it.
	reopen = 1e9
	// Where discovery pushes the list the delay starts at this and doubles up to reopenDelayNs.
	firstReopen = 1e8
)

// discoveryState is the state of the host list and the watch on it.
type discovery struct {
	generation int64
	watch      *watch // nil if none is open or being opened
	after      int64  // discovery asked not to be called before this time
	later      *timer // fires at notBefore; nil if not pending
	missing    int64  // time of the last byte of a watch that fell silent; 0 if nothing of it is missing
	failures   int    // watches lost since one received something
}

// watch is one connection to discovery.
type watch struct {
	wire
	answers *http1.Answers // reading goroutine only
	text    listText       // reading goroutine only: an incomplete list
	good    bool           // reading goroutine only: the response head arrived and is a 200
	silence *timer
	last    int64 // when it connected or last received something
	spoke   bool  // something arrived
	up      bool  // nb is set
}

// loadKnownHosts applies the host list that was last saved.
func (p *Proxy) known(text []byte, now int64) {
	r := roll{Instances: []entry{}}
	if len(text) > 0 {
		var err error
		if r, err = parseRoll(text); err != nil {
			logrus.Warnf("ignoring the saved host list: %v", err)
			p.count.BadLines++
			r = roll{}
		}
	}
	p.listed(balance.ListRestored, r, now)
}

// applyList passes a list to the balancer and keeps the addresses.
func (p *Proxy) listed(form balance.ListForm, r roll, now int64) {
	p.list.generation = r.Generation
	p.discovered(form, r, now)
	if form != balance.ListUpdate {
		for _, h := range p.hosts {
			h.ready, h.listed = false, false
		}
	}
	servers := make([]balance.Server, 0, len(r.Instances))
	for _, e := range r.Instances {
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
		p.remember(e.ID)
		if h := p.place(e, s); h != nil {
			s = p.show(h)
		}
		servers = append(servers, s)
	}
	for _, h := range slices.Clone(p.hosts) { // forgetHost removes from p.hosts
		if !h.ready {
			p.closeIdle(h)
			p.tidy(h)
		}
	}
	p.module.UpdateList(form, servers, now)
	p.listPeers(now)
}

// upsertHost records a host's address and listed state. It returns nil for a removed host that is not known.
func (p *Proxy) place(e entry, s balance.Server) *host {
	i, had := p.find(e.ID)
	if !had {
		if s.State == balance.Gone {
			return nil
		}
		p.hosts = slices.Insert(p.hosts, i, &host{id: e.ID})
	}
	h := p.hosts[i]
	if h.told = s; e.Addr != "" && e.Addr != h.addr {
		h.addr = e.Addr
		p.closeIdle(h)
	}
	return h
}

// updateHost refreshes a host's effective state and returns it as the balancer is to see it. Idle connections to an
// earlier process, or to a host that takes no new dispatches, are closed.
func (p *Proxy) show(h *host) balance.Server {
	s := p.shown(h.told)
	h.ready, h.listed = s.State == balance.Running, s.State != balance.Gone
	moved := h.since != s.Since
	if h.shown, h.since = s, s.Since; moved || !h.ready {
		p.closeIdle(h)
	}
	return s
}

// moveDiscovery switches to another discovery address and opens a watch at once.
func (p *Proxy) rediscover(addr string, now int64) {
	if addr != p.start.Discovery {
		p.list.after, p.list.missing, p.list.failures = 0, 0, 0 // they belong to the old address
		logrus.Infof("discovery address changed from %s to %s", p.start.Discovery, addr)
		p.start.Discovery = addr
		p.watch(now)
	}
}

// openWatch opens a watch in place of one that is still open.
func (p *Proxy) watch(now int64) {
	if now < p.list.after {
		if p.list.later == nil {
			p.list.later = p.after(now, p.list.after-now, func(now int64) {
				p.list.later = nil
				p.watch(now)
			})
		}
		return
	}
	p.count.Watches++
	if w := p.list.watch; w != nil {
		p.endWatch(w, now, false)
	}
	w := &watch{answers: http1.NewChunks(mostList)}
	p.list.watch = w
	made := func(nb *nbio.Conn) end {
		w.nb = nb
		return w
	}
	p.dial(p.start.Discovery, watchDial, made, func(e end, now int64, err error) {
		if w.up = err == nil; p.list.watch != w { // replaced in the meantime
			if w.up {
				w.shut()
			}
			return
		}
		if err != nil {
			p.endWatch(w, now, true)
			return
		}
		target := fmt.Sprintf("/catalog/members?watch=1&from=%d", p.list.generation)
		w.write(http1.AppendCall(nil, http1.Call{Method: http.MethodGet, Target: target}, p.start.Discovery, 0))
		p.listen(w, now)
	})
}

// subscribe keeps a watch open where discovery pushes the list; there the balancer does not ask for it. It does so
// while the process drains too, as the list still matters to open dispatches and requests that still come.
func (p *Proxy) subscribe(now int64) {
	if !p.terms.ListOnRequest {
		p.again(now)
	}
}

// ensureWatch opens a watch unless one is open or being opened.
func (p *Proxy) again(now int64) {
	if p.list.watch == nil && !p.done {
		p.watch(now)
	}
}

// deferWatch obeys a Retry-After of discovery, plus up to a quarter at random, as discovery tells all proxies the
// same. Without recovery settings the balancer alone decides when to retry.
func (p *Proxy) putOff(wait, now int64) {
	if p.comeback != nil && wait > 0 {
		p.list.after = now + int64(float64(min(wait, mostPutOff))*(1+p.dice.Next()/4))
	}
}

// resetWatchTimeout waits for a watch's next byte.
func (p *Proxy) listen(w *watch, now int64) {
	p.stop(w.silence)
	w.last = now
	limit := watchSilence + int64(silenceApart*p.dice.Next())
	w.silence = p.after(now, limit, func(now int64) { p.endWatch(w, now, true) })
}

// watchAlive records that a watch is alive. It tells the balancer so once, as discovery may have no list to send:
// otherwise the balancer would ask again, and what is written to this watch meanwhile would be lost with it.
func (p *Proxy) heard(w *watch, now int64) {
	if p.list.watch == w {
		if !w.spoke {
			p.module.UpdateList(balance.ListUpdate, nil, now)
		}
		w.spoke, p.list.missing, p.list.failures = true, 0, 0
		p.listen(w, now)
	}
}

// endWatch closes a watch and, if it failed, arranges for the next one.
func (p *Proxy) endWatch(w *watch, now int64, failed bool) {
	if p.list.watch != w {
		return
	}
	p.list.watch = nil
	p.stop(w.silence)
	if w.up {
		w.shut()
	}
	if !failed {
		return
	}
	p.count.WatchesLost++
	p.list.failures++
	switch {
	case w.spoke && now-w.last >= watchSilence:
		// What was sent on it counts as delivered before long, and its timeout was jittered already: reopen at
		// once.
		p.list.missing = w.last
		p.watch(now)
	case !p.terms.ListOnRequest:
		wait := min(reopen, firstReopen*math.Pow(2, float64(p.list.failures-1)))
		p.after(now, int64(wait*(0.5+p.dice.Next())), p.subscribe)
	case p.list.missing > 0 && now < p.list.missing+silenceTold-reopen:
		p.after(now, int64(reopen*(0.5+p.dice.Next())), p.again)
	default: // the balancer decides when to ask again
		p.list.missing = 0
		p.module.UpdateList(balance.ListUnavailable, nil, now)
	}
}

// watchRefused ends a watch that discovery refused. If discovery sent a Retry-After, the proxy does not retry
// sooner.
func (p *Proxy) turned(w *watch, wait, now int64) {
	p.putOff(wait, now)
	if wait > 0 {
		p.list.missing = 0
	}
	p.endWatch(w, now, true)
}

// postWatchEvent queues an event of a watch. The event loop handles these before all other events.
func (p *Proxy) tell(at int64, w *watch, do func(at int64)) {
	w.told.Add(1)
	p.queue(&p.news, event{at, &w.wire, do})
}

// handleWatchEvents handles the queued events of watches.
func (p *Proxy) takeNews() {
	p.mu.Lock()
	news := p.news
	p.news = nil
	p.mu.Unlock()
	p.handle(news)
}

// catchUpWatch handles all that discovery has written by now; what is still in the kernel's buffer of the watch is
// read here, on the event loop. Time in which the process was stopped cannot always be told from idle time, and any
// event may be handled first after it: so every dispatch calls this before its first byte. It returns false if that
// was done less than maxWatchAgeNs ago.
func (p *Proxy) present(now int64) bool {
	if now-p.newsAt < stale {
		return false
	}
	p.newsAt = now
	if w := p.list.watch; w != nil && w.up {
		p.pump(w.nb, w, false) // waits for data that a poller has read and not handed over yet
	}
	p.takeNews()
	return true
}

func (w *watch) read(p *Proxy, at int64, b []byte) {
	w.answers.Feed(b)
	for {
		a, ok, err := w.answers.Next()
		if err != nil || ok && a.Status != http.StatusOK {
			p.tell(at, w, func(at int64) { p.turned(w, a.RetryAfter, at) })
			return
		}
		if w.good = w.good || ok || w.answers.HeadIn(); w.good {
			p.tell(at, w, func(at int64) { p.heard(w, at) })
		}
		if !ok {
			return
		}
		w.text.add(a.Body)
		for bytes.IndexByte(a.Body, '}') >= 0 { // otherwise no list can be complete
			r, whole, err := w.text.next()
			if !whole {
				break
			}
			p.tell(at, w, func(at int64) { p.line(w, r, err, at) })
		}
		if len(w.text.held) > mostList || !w.answers.HeadIn() { // the response is over or the list too long
			p.tell(at, w, func(at int64) { p.endWatch(w, at, true) })
			return
		}
	}
}

// applyLine handles one list of a watch.
func (p *Proxy) line(w *watch, r roll, err error, now int64) {
	if p.list.watch != w {
		return
	}
	p.count.Lines++
	defer p.letIn()
	if err != nil {
		p.count.BadLines++
		logrus.Warnf("ignoring a host list line: %v", err)
		return
	}
	form := balance.ListUpdate
	if r.Reset {
		form = balance.ListReplace
	}
	p.listed(form, r, now)
}

func (w *watch) eof(*Proxy, int64) {}

func (w *watch) gone(p *Proxy, now int64) { p.endWatch(w, now, true) }
