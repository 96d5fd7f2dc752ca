package proxy

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/lesismal/nbio"

	"ivybank/balance"
	"ivybank/proxy/http1"
)

// These tests check what a process does first after it was stopped. A stop is simulated by what the process finds
// when it wakes up: a later clock, and data from discovery in the kernel's buffer. No result may depend on the
// speed of the machine.

// poller polls connections that tests write to: nbio panics, holding its lock, on a write to one that is not
// polled.
var poller = sync.OnceValues(func() (*nbio.Engine, error) {
	e := nbio.NewEngine(nbio.Config{Name: "test", NPoller: 1, EpollMod: nbio.EPOLLET})
	e.OnRead(func(*nbio.Conn) {})
	return e, e.Start()
})

// newPolledConn returns a parked connection that may be written to.
func newPolledConn(t *testing.T, p *Proxy) *hostConn {
	t.Helper()
	c, _ := newParkedConn(t, p, p.now()-1e9)
	e, err := poller()
	if err == nil {
		_, err = e.AddConn(c.nb)
	}
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// attachWatch gives a proxy an open watch and returns it with discovery's side of the connection.
func attachWatch(t *testing.T, p *Proxy) (*watch, net.Conn) {
	t.Helper()
	nb, other := pair(t)
	w := &watch{baseConn: baseConn{nb: nb}, parser: http1.NewChunkParser(maxListBytes), connected: true}
	p.discovery.watch = w
	return w, other
}

// sendDraining has discovery report the server as draining, and waits until that is in the kernel's buffer.
func sendDraining(t *testing.T, w *watch, other net.Conn) {
	t.Helper()
	line := `{"generation":8,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:1","lifecycle":"draining"}]}`
	line += "\n"
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := fmt.Fprintf(other, "%s%x\r\n%s\r\n", head, len(line), line); err != nil {
		t.Fatal(err)
	}
	waitForInput(&hostConn{baseConn: baseConn{nb: w.nb}})
}

// simulateStop makes it look as if the process had not run for 5 s.
func simulateStop(p *Proxy) {
	p.caughtUpAt -= 5e9
	p.lastRound -= 5e9
}

// Whichever event is handled first after a stop, nothing is dispatched to a server that discovery has meanwhile
// reported as draining; with and without recovery settings, whether the stop was noticed or not.
func TestDrainingReportedWhileStopped(t *testing.T) {
	deadline := func(p *Proxy) int64 { return p.now() + 3e9 }
	for name, firstEvent := range map[string]func(p *Proxy, r *request, c *hostConn){
		"a dispatch that was decided before": func(p *Proxy, r *request, c *hostConn) {
			p.send(r, "s", deadline(p), p.now())
		},
		"a connection that was just established": func(p *Proxy, r *request, c *hostConn) {
			p.unpark(c)
			d := &dispatch{req: r, host: c.host, deadline: deadline(p), outstanding: true}
			p.post(p.now(), nil, func(at int64) { p.useConn(d, c, at) })
			p.round()
		},
		"the same, handled before the stop was noticed": func(p *Proxy, r *request, c *hostConn) {
			p.unpark(c)
			p.useConn(&dispatch{req: r, host: c.host, deadline: deadline(p), outstanding: true}, c, p.now())
		},
		"a connection that had a response just before": func(p *Proxy, r *request, c *hostConn) {
			p.unpark(c)
			p.useSettled(&dispatch{req: r, host: c.host, deadline: deadline(p), outstanding: true}, c, p.now())
		},
		"a request": func(p *Proxy, r *request, c *hostConn) {
			p.post(p.now(), nil, func(at int64) {
				p.addRequest(&request{msg: http1.Request{ID: "a", Timeout: 3e9}, receivedAt: at}, 3e9, at)
			})
			p.round()
		},
	} {
		for _, settings := range []string{"without recovery", "with recovery"} {
			t.Run(name+", "+settings, func(t *testing.T) {
				p := newBareProxy(t)
				if settings == "with recovery" {
					p.recovery = newRecovery(RecoveryConfig{}, "discovery", p.now())
				}
				w, other := attachWatch(t, p)
				c := newPolledConn(t, p)
				simulateStop(p)
				sendDraining(t, w, other)
				firstEvent(p, &request{outstanding: 1}, c)
				p.round()
				if c.queued.Load() > 0 {
					t.Errorf("%d bytes were written to the draining server", c.queued.Load())
				}
				if p.host("s").ready || p.count.Lines != 1 {
					t.Errorf("ready %v after %d lines", p.host("s").ready, p.count.Lines)
				}
			})
		}
	}
}

// Events of a watch that a poller has read are handled before all other events, also without a stop.
func TestWatchEventsFirst(t *testing.T) {
	p := newBareProxy(t)
	w, _ := attachWatch(t, p)
	c := newPolledConn(t, p)
	p.unpark(c)
	p.caughtUpAt = p.now() + 60e9
	d := &dispatch{req: &request{outstanding: 1}, host: c.host, deadline: p.now() + 3e9, outstanding: true}
	p.post(p.now(), nil, func(at int64) { p.useConn(d, c, at) })
	p.postWatchEvent(p.now(), w, func(at int64) {
		list := hostList{Generation: 8, Instances: []hostEntry{{ID: "s", Addr: "127.0.0.1:1", State: "draining"}}}
		p.applyLine(w, list, nil, at)
	})
	p.round()
	if c.queued.Load() > 0 || p.host("s").ready {
		t.Errorf("%d bytes were written, ready %v", c.queued.Load(), p.host("s").ready)
	}
}

// A dispatch whose deadline passed during a stop is not sent: its server would run it for nobody.
func TestDeadlinePassedWhileStopped(t *testing.T) {
	p := newBareProxy(t)
	c := newPolledConn(t, p)
	p.unpark(c)
	d := &dispatch{req: &request{outstanding: 1}, host: c.host, deadline: p.now(), outstanding: true}
	p.writeDispatch(d, c)
	p.round()
	if c.queued.Load() > 0 || c.closed || p.count.Outcomes[balance.NotSent] != 1 {
		t.Errorf("%d bytes were written, closed %v, %v", c.queued.Load(), c.closed, p.count.Outcomes)
	}
}

// What the old watch had received counts even if the new one is not established in time.
func TestListOfReplacedWatch(t *testing.T) {
	p := newBareProxy(t)
	p.recovery = newRecovery(RecoveryConfig{}, "discovery", p.now())
	w, other := attachWatch(t, p)
	simulateStop(p)
	sendDraining(t, w, other)
	p.checkStall(p.now() - 5e9)
	if p.recovery.count.Stalls != 1 || !p.listUncertain() || p.discovery.watch == w {
		t.Fatalf("%d stalls, list uncertain %v", p.recovery.count.Stalls, p.listUncertain())
	}
	if p.trustList(p.now()); p.listUncertain() || p.host("s").ready {
		t.Errorf("list uncertain %v, ready %v, want the old watch's last list applied", p.listUncertain(),
			p.host("s").ready)
	}
}

// A stop while the loop is sending is noticed by the next round, like a stop at any other time.
func TestStoppedWhileSending(t *testing.T) {
	p := newBareProxy(t)
	p.recovery = newRecovery(RecoveryConfig{}, "discovery", p.now())
	w, _ := attachWatch(t, p)
	newPolledConn(t, p)
	p.after(p.now(), 1e8, func(int64) {})
	p.post(p.now(), nil, func(at int64) {
		p.addRequest(&request{msg: http1.Request{ID: "a", Timeout: 3e9}, receivedAt: at}, 3e9, at)
		p.caughtUpAt = 0 // so that the dispatch runs the event below
		p.postWatchEvent(at, w, func(int64) { time.Sleep(time.Duration(stallThresholdNs + 2e8)) })
	})
	p.round()
	if p.round(); p.recovery.count.Stalls != 1 {
		t.Errorf("%d stalls, want 1", p.recovery.count.Stalls)
	}
}

// The watch is read at most once per maxWatchAgeNs, however many dispatches are sent.
func TestCatchUpOncePerInterval(t *testing.T) {
	p := newBareProxy(t)
	w, other := attachWatch(t, p)
	now := p.now()
	if !p.catchUpWatch(now) {
		t.Fatal("not read the first time")
	}
	sendDraining(t, w, other)
	if p.catchUpWatch(now+maxWatchAgeNs-1) || p.count.Lines != 0 {
		t.Error("read again too early")
	}
	if !p.catchUpWatch(now+maxWatchAgeNs) || p.count.Lines != 1 {
		t.Errorf("%d lines read after maxWatchAgeNs, want 1", p.count.Lines)
	}
}
