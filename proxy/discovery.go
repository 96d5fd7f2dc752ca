package proxy

// This file owns the list of hosts: a watch on discovery and what its lines say. It opens one when the module
// asks, or keeps one up by itself where the list is to come unasked. It must never drop the list it holds
// because discovery is gone.

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
	watchDial    = 1e9         // a connection to discovery not up by then counts as failed
	watchSilence = 3e9         // an empty line comes every 2 s: a watch silent for longer has ended unseen,
	silenceApart = 1e9         // and is broken within this time, by chance: all may fall silent at once
	silenceTold  = int64(6e9)  // so long after its last byte what a silent watch misses counts as told
	mostList     = 4 << 20     // bytes of one list
	mostPutOff   = int64(10e9) // the longest that discovery may put a call off
	stale        = int64(20e6) // no dispatch leaves later than so after the watch was last read to its end
	reopen       = 1e9         // after about so long a lost watch is opened again where the module doesn't ask,
	firstReopen  = 1e8         // and sooner, doubling, where the list comes unasked
)

// discovery is what is known of the list and the watch on it.
type discovery struct {
	generation int64
	watch      *watch // nil when none is up or asked for
	after      int64  // discovery has asked not to be called before then
	later      *timer // the call at that time; nil: none
	missing    int64  // the last byte of a watch that fell silent; 0: nothing of it is missing
	failures   int    // watches that were lost since one spoke
}

// watch is one connection to discovery.
type watch struct {
	wire
	answers *http1.Answers // the poller's
	text    listText       // the poller's: what is not a whole list yet
	good    bool           // the poller's: what comes is a list's
	silence *timer
	last    int64 // when it was up, or spoke last
	spoke   bool  // something has come
	up      bool  // nb is set
}

// known takes the list that was last held.
func (p *Proxy) known(text []byte, now int64) {
	r := roll{Instances: []entry{}}
	if len(text) > 0 {
		var err error
		if r, err = parseRoll(text); err != nil {
			logrus.Warnf("known list ignored: %v", err)
			p.count.BadLines++
			r = roll{}
		}
	}
	p.listed(balance.ListRestored, r, now)
}

// listed hands a line to the module and keeps the addresses.
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
			s.State = balance.Draining // also a state not known here: nothing new goes there
		}
		p.remember(e.ID)
		if h := p.place(e, s); h != nil {
			s = p.show(h)
		}
		servers = append(servers, s)
	}
	for _, h := range slices.Clone(p.hosts) { // tidy takes hosts off
		if !h.ready {
			p.closeIdle(h)
			p.tidy(h)
		}
	}
	p.module.Listed(form, servers, now)
	p.listPeers(now)
}

// place keeps where a host is and what the list says of it; nil where it is gone and nothing is known of it.
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

// show brings a host up to date and gives it as the module is to see it. Connections to an earlier process or to
// a host that wants nothing new are of no use.
func (p *Proxy) show(h *host) balance.Server {
	s := p.shown(h.told)
	h.ready, h.listed = s.State == balance.Running, s.State != balance.Gone
	moved := h.since != s.Since
	if h.shown, h.since = s, s.Since; moved || !h.ready {
		p.closeIdle(h)
	}
	return s
}

// rediscover follows discovery to another address, with a watch at once.
func (p *Proxy) rediscover(addr string, now int64) {
	if addr != p.start.Discovery {
		p.list.after, p.list.missing, p.list.failures = 0, 0, 0 // all of it was the old one's
		logrus.Infof("discovery moves from %s to %s", p.start.Discovery, addr)
		p.start.Discovery = addr
		p.watch(now)
	}
}

// watch opens a watch, in place of one that is still up.
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
		if w.up = err == nil; p.list.watch != w { // given up meanwhile
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

// subscribe keeps a watch up where the list comes unasked; there the module has no say in it. What is out or
// still comes while the process drains goes by the list too.
func (p *Proxy) subscribe(now int64) {
	if !p.terms.ListOnRequest {
		p.again(now)
	}
}

// again opens a watch unless one is up or asked for.
func (p *Proxy) again(now int64) {
	if p.list.watch == nil && !p.done {
		p.watch(now)
	}
}

// putOff keeps to what discovery says when it is to be called again, and by chance a quarter longer, as it says so to all. Without what
// operators set on coming back the module's own time stands alone.
func (p *Proxy) putOff(wait, now int64) {
	if p.comeback != nil && wait > 0 {
		p.list.after = now + int64(float64(min(wait, mostPutOff))*(1+p.dice.Next()/4))
	}
}

// listen waits for a watch's next byte.
func (p *Proxy) listen(w *watch, now int64) {
	p.stop(w.silence)
	w.last = now
	limit := watchSilence + int64(silenceApart*p.dice.Next())
	w.silence = p.after(now, limit, func(now int64) { p.endWatch(w, now, true) })
}

// heard notes that a watch is alive. The module learns of it once, as discovery may have nothing to tell: else it would
// ask again, and what is written to the watch meanwhile would be lost with it.
func (p *Proxy) heard(w *watch, now int64) {
	if p.list.watch == w {
		if !w.spoke {
			p.module.Listed(balance.ListUpdate, nil, now)
		}
		w.spoke, p.list.missing, p.list.failures = true, 0, 0
		p.listen(w, now)
	}
}

// endWatch ends a watch, and has the next one opened where it has failed.
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
		// What it misses counts as told before long, and its end was spread already: the next is opened at once.
		p.list.missing = w.last
		p.watch(now)
	case !p.terms.ListOnRequest:
		wait := min(reopen, firstReopen*math.Pow(2, float64(p.list.failures-1)))
		p.after(now, int64(wait*(0.5+p.dice.Next())), p.subscribe)
	case p.list.missing > 0 && now < p.list.missing+silenceTold-reopen:
		p.after(now, int64(reopen*(0.5+p.dice.Next())), p.again)
	default: // the module says when to ask again
		p.list.missing = 0
		p.module.Listed(balance.ListUnavailable, nil, now)
	}
}

// turned ends a watch that discovery has no room for. One that says when to come again is not pressed.
func (p *Proxy) turned(w *watch, wait, now int64) {
	p.putOff(wait, now)
	if wait > 0 {
		p.list.missing = 0
	}
	p.endWatch(w, now, true)
}

// tell hands over what a watch has said. The owner takes it before all else that has come.
func (p *Proxy) tell(at int64, w *watch, do func(at int64)) {
	w.told.Add(1)
	p.queue(&p.news, event{at, &w.wire, do})
}

// takeNews takes what watches have said.
func (p *Proxy) takeNews() {
	p.mu.Lock()
	news := p.news
	p.news = nil
	p.mu.Unlock()
	p.handle(news)
}

// present has all taken that discovery had written by now; what the kernel still holds of the watch is read here,
// on the owner. Time in which the process was stopped cannot always be told from time in which nothing was to be
// done, and after it any event may come first: so every dispatch passes here before its first byte. False where
// that was done just before.
func (p *Proxy) present(now int64) bool {
	if now-p.newsAt < stale {
		return false
	}
	p.newsAt = now
	if w := p.list.watch; w != nil && w.up {
		p.pump(w.nb, w, false) // what a poller has read and not yet handed over is waited for
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
		for bytes.IndexByte(a.Body, '}') >= 0 { // else no list can have become whole
			r, whole, err := w.text.next()
			if !whole {
				break
			}
			p.tell(at, w, func(at int64) { p.line(w, r, err, at) })
		}
		if len(w.text.held) > mostList || !w.answers.HeadIn() { // its answer is over
			p.tell(at, w, func(at int64) { p.endWatch(w, at, true) })
			return
		}
	}
}

// line takes one list of a watch.
func (p *Proxy) line(w *watch, r roll, err error, now int64) {
	if p.list.watch != w {
		return
	}
	p.count.Lines++
	defer p.letIn()
	if err != nil {
		p.count.BadLines++
		logrus.Warnf("line of the list ignored: %v", err)
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
