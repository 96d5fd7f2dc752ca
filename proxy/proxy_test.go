package proxy

import (
	"errors"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/lesismal/nbio"

	"ivybank/balance"
	"ivybank/fleet/holds"
	"ivybank/proxy/http1"
)

// newBareProxy returns a proxy that knows one server and does not listen.
func newBareProxy(t *testing.T) *Proxy {
	t.Helper()
	return New(Config{Sockets: 100, ConnIdle: 60e9, DialTimeout: 250e6,
		KnownHosts: []byte(`{"generation":7,"reset":true,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:1","lifecycle":"ready"}]}`),
		Terms:      balance.Config{Tick: 5e6, MaxDispatches: 3, FleetSize: 1}})
}

// pair returns a connection as the proxy holds it, and its other side.
func pair(t *testing.T) (*nbio.Conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	mine, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	other, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	nb, err := nbio.NBConn(mine)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = nb.Close(), other.Close() })
	return nb, other
}

func newParkedConn(t *testing.T, p *Proxy, used int64) (*hostConn, net.Conn) {
	t.Helper()
	nb, other := pair(t)
	h := p.host("s")
	c := &hostConn{baseConn: baseConn{nb: nb}, host: h, addr: h.addr, hostStart: h.startTime, counted: true}
	h.conns++
	p.pool.conns++
	p.park(c, used)
	return c, other
}

// waitForInput waits until the kernel shows what the other side did.
func waitForInput(c *hostConn) {
	for end := time.Now().Add(10 * time.Second); c.noInput() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// A request that the kernel did not accept in full never ran; any other may have. The count is nbio's, which queues
// writes.
func TestProgressAndOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		conn, took, begun bool
		reached           reached
		broke, given      balance.Outcome
	}{
		"unconnected":    {false, false, false, unconnected, balance.NoConnection, balance.NotSent},
		"part written":   {true, false, false, partWritten, balance.NoConnection, balance.NotSent},
		"all written":    {true, true, false, allWritten, balance.Reset, balance.TimedOut},
		"response begun": {true, true, true, responseBegun, balance.Reset, balance.TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			build := func(p *Proxy) *dispatch {
				d := &dispatch{req: &request{outstanding: 1}, host: p.host("s"), outstanding: true}
				if c.conn {
					nb, _ := pair(t)
					d.conn = &hostConn{baseConn: baseConn{nb: nb}}
					d.conn.queued.Store(10)
					d.conn.accepted.Store(9)
					if c.took {
						d.conn.accepted.Store(10)
					}
					d.conn.responseBegun.Store(c.begun)
				}
				return d
			}
			p := newBareProxy(t)
			d := build(p)
			if got := d.progress(); got != c.reached {
				t.Fatalf("got %d, want %d", got, c.reached)
			}
			p.fail(d, &dispatchError{d.progress(), errConnClosed}, 1)
			if p.count.Outcomes[c.broke] != 1 || d.outstanding {
				t.Errorf("broken: got %v, want one %s", p.count.Outcomes, outcomeNames[c.broke])
			}
			p = newBareProxy(t)
			d = build(p)
			p.giveUp(d, balance.TimedOut, 1)
			p.giveUp(d, balance.Cancelled, 2) // a dispatch ends once
			if p.count.Outcomes[c.given] != 1 || p.count.Outcomes[balance.Cancelled] != 0 {
				t.Errorf("given up: got %v, want one %s", p.count.Outcomes, outcomeNames[c.given])
			}
		})
	}
}

func TestOutcome(t *testing.T) {
	for _, c := range []struct {
		a    http1.Response
		want balance.Outcome
	}{
		{http1.Response{Status: 200}, balance.Served},
		{http1.Response{Status: 500}, balance.Errored},
		{http1.Response{Status: 503, NotStarted: true}, balance.Refused},
		{http1.Response{Status: 504, NotStarted: true}, balance.Refused},
		{http1.Response{Status: 503}, balance.Errored},
		{http1.Response{Status: 500, NotStarted: true}, balance.Errored},
		{http1.Response{Status: 204}, balance.Errored},
	} {
		if got := outcomeOf(c.a); got != c.want {
			t.Errorf("%+v: got %s, want %s", c.a, outcomeNames[got], outcomeNames[c.want])
		}
	}
}

// A client that sent only an empty line must still time out.
func TestEmptyLineKeepsReadTimer(t *testing.T) {
	p := newBareProxy(t)
	c := &client{}
	p.startReadTimer(c, 1)
	if p.partialRequest(c, false, false, false, 2); c.readTimer.index < 0 {
		t.Fatal("an empty line stopped the timer of the first request")
	}
	c.hasRequested = true
	if p.partialRequest(c, false, false, false, 3); c.readTimer.index >= 0 {
		t.Fatal("the timer runs between requests")
	}
}

// A copy of a response that was read before the next request was written on its connection never answers that
// request.
func TestLateDuplicateResponse(t *testing.T) {
	p := newBareProxy(t)
	c, _ := newParkedConn(t, p, 1)
	d := &dispatch{req: &request{outstanding: 1, ended: true}, host: p.host("s"), outstanding: true}
	p.unpark(c)
	c.dispatch, d.conn, d.writtenAt = d, c, 100
	p.handleResponse(c, http1.Response{Status: 200}, 99)
	if p.count.Outcomes[balance.Errored] != 1 || !c.closed {
		t.Fatalf("got %v, closed %v, want an error and the connection closed", p.count.Outcomes, c.closed)
	}
}

// A connection that just had a response is not used before stray bytes behind it would have arrived.
func TestStrayBytesBehindResponse(t *testing.T) {
	p := newBareProxy(t)
	c, other := newParkedConn(t, p, 1000)
	p.requests[1] = &request{id: 1}
	p.send(p.requests[1], "s", 1e9, 1001)
	d := p.requests[1].dispatches[0]
	if c.queued.Load() != 0 || d.conn != nil || len(p.timers) != 2 {
		t.Fatalf("the request was written at once, %d timers", len(p.timers))
	}
	_, _ = other.Write([]byte("HTTP/1.1 200 OK"))
	waitForInput(c)
	if p.useSettled(d, c, 1000+settleNs); !c.closed || d.conn != nil || p.pool.dials != 1 {
		t.Fatalf("closed %v, %d dials, want the request on a new connection", c.closed, p.pool.dials)
	}
}

// A connection that the peer has ended must not carry a request, which would end as a reset that may have run.
func TestTakeIdle(t *testing.T) {
	for name, spoil := range map[string]func(net.Conn){
		"ended":       func(c net.Conn) { _ = c.Close() },
		"stray bytes": func(c net.Conn) { _, _ = c.Write([]byte("x")) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newBareProxy(t)
			good, _ := newParkedConn(t, p, 1)
			bad, other := newParkedConn(t, p, 2)
			spoil(other)
			waitForInput(bad)
			if got := p.takeIdle(p.host("s")); got != good {
				t.Fatalf("got %p, want the good one", got)
			}
			if got := p.takeIdle(p.host("s")); got != nil || !bad.closed {
				t.Fatalf("got %p, want none left and the bad one closed", got)
			}
		})
	}
	t.Run("moved", func(t *testing.T) {
		p := newBareProxy(t)
		c, _ := newParkedConn(t, p, 1)
		p.applyList(balance.ListUpdate, hostList{Generation: 8,
			Instances: []hostEntry{{ID: "s", Addr: "127.0.0.1:2", State: "ready"}}}, 2)
		if !c.closed || p.host("s").addr != "127.0.0.1:2" {
			t.Fatal("a connection to the old address was kept")
		}
	})
}

// Clients have priority: idle connections to hosts are closed for them, the longest idle first.
func TestMakeRoom(t *testing.T) {
	p := newBareProxy(t)
	old, _ := newParkedConn(t, p, 1)
	late, _ := newParkedConn(t, p, 2)
	for range 100 - reservedFDs - 2 {
		p.clients = append(p.clients, &client{idleSince: p.now()})
	}
	if !p.makeRoom() || !old.closed || late.closed || p.pool.conns != 1 {
		t.Fatalf("got old closed %v, late closed %v, %d counted", old.closed, late.closed, p.pool.conns)
	}
	old.onClose(p, 3) // nbio's callback comes later and must not count it a second time
	if p.pool.conns != 1 || p.host("s").conns != 1 {
		t.Fatalf("got %d, %d counted, want 1", p.pool.conns, p.host("s").conns)
	}
	p.clients = append(p.clients, &client{idleSince: p.now()}, &client{idleSince: p.now()})
	if p.makeRoom() {
		t.Fatal("got a descriptor while clients alone use all of them")
	}
}

// A response that was read before its dispatch timed out counts, however late the event loop handles it.
func TestRound(t *testing.T) {
	p := newBareProxy(t)
	var order []string
	p.after(0, 2, func(int64) { order = append(order, "second") })
	p.after(0, 1, func(int64) { order = append(order, "first") })
	p.stop(p.after(0, 1, func(int64) { order = append(order, "stopped") }))
	p.post(p.now(), nil, func(int64) { order = append(order, "event") })
	nb, _ := pair(t)
	w := &baseConn{nb: nb}
	p.post(p.now(), w, func(int64) { panic("one event's panic ends its connection and nothing else") })
	p.round()
	if want := []string{"event", "first", "second"}; !slices.Equal(order, want) || p.count.Panics != 1 || !w.closed {
		t.Fatalf("got %v, %d panics, want %v", order, p.count.Panics, want)
	}
}

// A client's last response is sent before its connection is closed, but a client that never reads is not waited
// for.
func TestPollFlushed(t *testing.T) {
	p := newBareProxy(t)
	nb, _ := pair(t)
	c := &client{baseConn: baseConn{nb: nb}}
	c.queued.Store(10)
	p.pollFlushed(c, 0, 1, 100)
	if c.closed || len(p.timers) != 1 {
		t.Fatalf("closed %v with bytes left, %d timers", c.closed, len(p.timers))
	}
	if p.pollFlushed(c, 0, 100, 100); !c.closed {
		t.Fatal("the connection of a client that does not read stays open")
	}
	nb, _ = pair(t)
	c = &client{baseConn: baseConn{nb: nb}}
	c.queued.Store(10)
	c.accepted.Store(10)
	if p.pollFlushed(c, 0, 1, 100); !c.closed {
		t.Fatal("the connection of a client that has received everything stays open")
	}
}

func TestParseHostList(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		ok   bool
	}{
		"whole":          {`{"generation":1,"reset":true,"instances":[{"instanceId":"a","hostPort":"b","new":1}],"new":[]}`, true},
		"empty":          {`{"generation":1,"instances":[]}`, true},
		"gone":           {`{"generation":1,"instances":[{"instanceId":"a","lifecycle":"gone"}]}`, true},
		"cut":            {`{"generation":1,"instances":[`, false},
		"no list":        {`{"generation":1}`, false},
		"no id":          {`{"generation":1,"instances":[{"instanceId":"a","hostPort":"b"},{"hostPort":"b"}]}`, false},
		"no address":     {`{"generation":1,"instances":[{"instanceId":"a","lifecycle":"ready"}]}`, false},
		"other type":     {`{"generation":"1","instances":[]}`, false},
		"nothing at all": {``, false},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := parseHostList([]byte(c.text)); (err == nil) != c.ok {
				t.Fatalf("got %v", err)
			}
		})
	}
}

// Nothing is dispatched to a server that began to drain while the connection to it was being established.
func TestHostDrainsWhileConnecting(t *testing.T) {
	p := newBareProxy(t)
	p.applyList(balance.ListUpdate, hostList{Generation: 8,
		Instances: []hostEntry{{ID: "s", Addr: "127.0.0.1:1", State: "draining"}}}, 1)
	nb, _ := pair(t)
	d := &dispatch{req: &request{outstanding: 1}, host: p.host("s"), outstanding: true}
	c := &hostConn{baseConn: baseConn{nb: nb}, host: d.host}
	p.useConn(d, c, 2)
	p.round()
	if p.count.Outcomes[balance.NotSent] != 1 || c.queued.Load() != 0 || !c.closed {
		t.Fatalf("got %v, %d bytes given", p.count.Outcomes, c.queued.Load())
	}
	if !errors.Is(&dispatchError{unconnected, errHostDraining}, errHostDraining) {
		t.Fatal("the error does not unwrap to its cause")
	}
}

// A long successful response that starts before all of the request was sent, or while another host's response is
// being relayed, must not reach the client.
func TestPrematureRelay(t *testing.T) {
	for name, spoil := range map[string]func(r *request, c *hostConn){
		"early":  func(r *request, c *hostConn) { c.queued.Add(10) },
		"second": func(r *request, c *hostConn) { r.relay = &hostConn{} },
		"ended":  func(r *request, c *hostConn) { r.ended = true },
	} {
		t.Run(name, func(t *testing.T) {
			p := newBareProxy(t)
			c, _ := newParkedConn(t, p, 1)
			p.unpark(c)
			nb, other := pair(t)
			cl := &client{baseConn: baseConn{nb: nb}}
			r := &request{id: 1, client: cl, outstanding: 1}
			cl.request = r
			d := &dispatch{req: r, host: p.host("s"), conn: c, outstanding: true}
			c.dispatch = d
			spoil(r, c)
			p.startRelay(c, http1.Response{Status: 200, Piece: http1.First, Length: 100000, Body: []byte("x")}, 100)
			if d.outstanding || !c.closed || p.count.Outcomes[balance.Errored] != 1 || cl.queued.Load() != 0 {
				t.Errorf("outstanding %v, closed %v, %v, %d bytes to the client", d.outstanding, c.closed,
					p.count.Outcomes,
					cl.queued.Load())
			}
			_ = other
		})
	}
}

// Reading stops at the transit limit and resumes once the other side has accepted the bytes.
func TestTransitLimit(t *testing.T) {
	p := newBareProxy(t)
	nb, _ := pair(t)
	from := &client{baseConn: baseConn{nb: nb}}
	to := &baseConn{}
	most := p.transit.Load()
	from.transit.Store(most)
	if from.canRead(most) || !from.readPaused.Load() {
		t.Fatal("reading goes on past the limit")
	}
	to.queued.Store(most)
	if p.forwarded(from, most, to); !to.wantsLow.Load() || from.transit.Load() != most {
		t.Fatalf("released %d bytes before the other side has accepted any", most-from.transit.Load())
	}
	to.accepted.Store(most)
	if p.forwarded(from, 0, to); from.transit.Load() != 0 || from.readPaused.Load() {
		t.Fatalf("%d in transit, stalled %v once all was accepted", from.transit.Load(), from.readPaused.Load())
	}
	for range 300 {
		p.clients = append(p.clients, &client{body: &bodyStream{}})
	}
	p.config.Memory = 32 << 20
	if p.updateTransitLimit(1); p.transit.Load() >= most || p.transit.Load() < minTransitBytes {
		t.Errorf("got %d bytes each for 300 bodies within 32 MB", p.transit.Load())
	}
}

// A body that the kernel did not accept at once has not stalled: it has its time, and goes on while bytes move.
func TestWatchUpload(t *testing.T) {
	p := newBareProxy(t)
	c, _ := newParkedConn(t, p, 1)
	p.unpark(c)
	d := &dispatch{req: &request{outstanding: 1, body: &bodyStream{}}, host: p.host("s"), conn: c, outstanding: true}
	c.dispatch = d
	c.queued.Store(100)
	c.accepted.Store(40)
	due := func() {
		t.Helper()
		if len(p.timers) != 1 {
			t.Fatalf("got %d timers, want the next check", len(p.timers))
		}
		timer := p.timers[0]
		p.stop(timer)
		timer.do(timer.at)
	}
	p.watchUpload(d, 40, 1)
	if !d.outstanding || c.closed {
		t.Fatal("given up at once")
	}
	c.accepted.Store(60)
	if due(); !d.outstanding {
		t.Fatal("given up though bytes moved")
	}
	if due(); d.outstanding || !c.closed || p.count.Outcomes[balance.NotSent] != 1 {
		t.Fatalf("outstanding %v, closed %v, %v, want it given up as never sent", d.outstanding, c.closed,
			p.count.Outcomes)
	}
}

// Taking a host out of use just after the start, by an operator, a plan or a peer's report, does not count as a
// list from discovery: the balancer still asks for one.
func TestHoldDoesNotCountAsList(t *testing.T) {
	p := New(Config{Sockets: 100, Terms: balance.Config{FleetSize: 1, ListOnRequest: true, AskWithin: 2e9, Tick: 5e6,
		RuleSets: []balance.RuleSet{{Name: "a", ResponseTarget: 1e9}}},
		KnownHosts: []byte(`{"generation":7,"reset":true,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:1","lifecycle":"ready"}]}`)})
	now := p.now()
	p.applyHolds(holds.Table{Version: 1, Hosts: map[string]holds.Hold{"s": {Out: true, Since: now}}}, now)
	if p.host("s").ready {
		t.Fatal("the host is still ready")
	}
	asked := false
	for at := now; at < now+3e9; at += 5e7 {
		for d, ok := p.balancer.Next(at); ok; d, ok = p.balancer.Next(at) {
			asked = asked || d.Kind == balance.RequestList
		}
	}
	if !asked {
		t.Error("the balancer does not ask for the list any more")
	}
}

// A Retry-After of discovery is obeyed with a random part added, and leads to one call only.
func TestDeferWatch(t *testing.T) {
	p := newBareProxy(t)
	now := p.now()
	if p.deferWatch(2e9, now); p.discovery.notBefore != 0 {
		t.Fatal("Retry-After is obeyed without recovery settings")
	}
	p.recovery = &recovery{}
	p.deferWatch(2e9, now)
	if wait := p.discovery.notBefore - now; wait < 2e9 || wait > 25e8 {
		t.Fatalf("deferred for %d ms", wait/1e6)
	}
	for range 3 {
		p.openWatch(now + 1e9)
	}
	if p.count.Watches != 0 || len(p.timers) != 1 || p.timers[0].at != p.discovery.notBefore {
		t.Errorf("%d calls, %d timers", p.count.Watches, len(p.timers))
	}
	if p.deferWatch(3600e9, now); p.discovery.notBefore-now > 125e8 {
		t.Errorf("deferred for %d s", (p.discovery.notBefore-now)/1e9)
	}
}
