package proxy

// The requirements of the operators' standing test that this package keeps, one test each; docs/sockets.md lists
// them. Clocks are simulated: the tests wait for the kernel to deliver bytes, but never for time to pass.

import (
	"bufio"
	"context"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/pelletier/go-toml/v2"

	"ivybank/balance"
	"ivybank/proxy/http1"
)

// advanceTime lets time pass: it runs timers in order, and after each what the balancer decides. It returns the number
// of timers that fired.
func advanceTime(t *testing.T, p *Proxy, from, to int64) (fired int) {
	t.Helper()
	p.runDecisions(from)
	for len(p.timers) > 0 && p.timers[0].at <= to {
		if fired++; fired > 100000 {
			t.Fatal("time does not advance")
		}
		timer := p.timers[0]
		p.stop(timer)
		timer.do(timer.at)
		p.runDecisions(timer.at)
	}
	return fired
}

// newProxyWithRules returns a proxy with rule sets and one server.
func newProxyWithRules(t *testing.T, change func(*Config)) *Proxy {
	t.Helper()
	cfg := Config{Sockets: 100, ConnIdle: 60e9, DialTimeout: 250e6, LongestTimeout: 3e9, Discovery: "127.0.0.1:1",
		KnownHosts: []byte(`{"generation":7,"instances":[
			{"instanceId":"s","hostPort":"127.0.0.1:1","lifecycle":"ready"}]}`),
		Terms: balance.Config{Tick: 5e6, MaxDispatches: 3, FleetSize: 300, ListOnRequest: true, AskWithin: 4e9,
			CanCancel: true, RuleSets: []balance.RuleSet{
				{Name: "once", Effect: balance.NonReplayable, ResponseTarget: 8e8, BillingValue: 1},
				{Name: "again", ResponseTarget: 8e8, BillingValue: 1, OverdueValue: 0.5}}}}
	if change != nil {
		change(&cfg)
	}
	return New(cfg)
}

func pushLists(cfg *Config) { cfg.Terms.ListOnRequest = false }

// attach has the kernel accept what is written to a connection; nothing is read from it.
func attach(t *testing.T, p *Proxy, e endpoint) {
	t.Helper()
	if p.engine == nil {
		p.engine = nbio.NewEngine(nbio.Config{NPoller: 1, EpollMod: nbio.EPOLLET})
		p.engine.OnRead(func(*nbio.Conn) {})
		p.engine.OnWrittenSize(p.onWritten)
		if err := p.engine.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			end, done := context.WithTimeout(context.Background(), time.Second)
			defer done()
			_ = p.engine.Shutdown(end)
		})
	}
	e.base().nb.SetSession(e)
	if _, err := p.engine.AddConn(e.base().nb); err != nil {
		t.Fatal(err)
	}
}

// connectClient returns a client's connection, its other side, and a reader for the responses.
func connectClient(t *testing.T, p *Proxy) (*client, net.Conn, *bufio.Reader) {
	t.Helper()
	nb, other := pair(t)
	c := newClient(nb)
	attach(t, p, c)
	p.clients = append(p.clients, c)
	_ = other.SetReadDeadline(time.Now().Add(10 * time.Second))
	return c, other, bufio.NewReader(other)
}

func readResponse(t *testing.T, in *bufio.Reader) *http.Response {
	t.Helper()
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	_ = r.Body.Close()
	return r
}

func newRequest(rules, id string, timeout int64) http1.Request {
	return http1.Request{Method: http.MethodPost, Target: "/api", ID: id, RuleSet: rules, Timeout: timeout}
}

// receivingWatch returns an open watch that received something at the given time.
func receivingWatch(t *testing.T, p *Proxy, at int64) *watch {
	t.Helper()
	nb, _ := pair(t)
	w := &watch{baseConn: baseConn{nb: nb}, parser: http1.NewChunkParser(maxListBytes), connected: true}
	p.discovery.watch = w
	p.watchAlive(w, at)
	return w
}

// nextTimer returns the earliest timer.
func nextTimer(t *testing.T, p *Proxy) *timer {
	t.Helper()
	if len(p.timers) == 0 {
		t.Fatal("no timer is pending")
	}
	return p.timers[0]
}

// fireNext runs the earliest timer and returns the time at which it was due.
func fireNext(t *testing.T, p *Proxy) int64 {
	timer := nextTimer(t, p)
	p.stop(timer)
	timer.do(timer.at)
	return timer.at
}

// balancerAsks reports whether the balancer asks for the list in the given time.
func balancerAsks(p *Proxy, from, to int64) bool {
	for at := from; at < to; at += 5e7 {
		for d, ok := p.balancer.Next(at); ok; d, ok = p.balancer.Next(at) {
			if d.Kind == balance.RequestList {
				return true
			}
		}
	}
	return false
}

// What is sent on a silent watch counts as delivered 6 s after its last byte. The watch is closed well before, at
// random times across proxies, and the next one is opened in the same moment, whether or not the list is pushed;
// the balancer is not told of a failure.
func TestSilentWatchReopened(t *testing.T) {
	for name, change := range map[string]func(*Config){"on request": nil, "pushed": pushLists} {
		t.Run(name, func(t *testing.T) {
			ends := map[int64]bool{}
			for seed := range uint64(20) {
				p := newProxyWithRules(t, change)
				p.random.Seed = seed
				// As after a subscription.
				p.balancer.UpdateList(balance.ListReplace, []balance.Server{{ID: "s"}}, p.now())
				from := p.now()
				w := receivingWatch(t, p, from)
				p.watchAlive(w, from+2e9) // an empty line keeps the watch alive
				at := fireNext(t, p)
				if silent := at - from - 2e9; silent < 25e8 || silent > 4e9 {
					t.Fatalf("closed after %d ms of silence", silent/1e6)
				}
				if ends[at-from] = true; !w.closed || p.discovery.watch == w || p.discovery.watch == nil ||
					p.count.Watches != 1 {
					t.Fatal("the next watch is not opened at once")
				}
				if balancerAsks(p, at, at+10e9) {
					t.Fatal("the balancer was told of a failure")
				}
			}
			if len(ends) < 15 {
				t.Errorf("only %d different times in 20 runs", len(ends))
			}
		})
	}
}

// If discovery then refuses or is down, it is called again every second or so while what is missing does not count
// as delivered yet. After that, or once discovery sends a Retry-After, the balancer decides when to ask.
func TestSilentWatchRefused(t *testing.T) {
	for name, c := range map[string]struct {
		retryIn     int64
		least, most int
	}{"refused": {0, 2, 5}, "busy": {2e9, 0, 0}} {
		t.Run(name, func(t *testing.T) {
			p := newProxyWithRules(t, nil)
			p.balancer.UpdateList(balance.ListReplace, []balance.Server{{ID: "s"}}, p.now())
			from := p.now()
			receivingWatch(t, p, from)
			at, calls := fireNext(t, p), 0
			for ; ; calls++ {
				p.watchRefused(p.discovery.watch, c.retryIn, at)
				if len(p.timers) == 0 {
					break
				}
				at = fireNext(t, p)
			}
			if calls < c.least || calls > c.most || at > from+65e8 {
				t.Errorf("%d calls by the proxy itself, the last after %d ms", calls, (at-from)/1e6)
			}
			if !balancerAsks(p, at, at+3e9) {
				t.Error("the balancer does not ask any more")
			}
		})
	}
}

// A call that is never answered, or a watch that ends, is for the balancer to repeat: it knows how long the list in
// use is valid.
func TestLostWatchLeftToBalancer(t *testing.T) {
	for name, end := range map[string]func(*Proxy, *watch, int64) int64{
		"ended": func(p *Proxy, w *watch, now int64) int64 { w.onClose(p, now+1e9); return now + 1e9 },
		"never answered": func(p *Proxy, w *watch, now int64) int64 {
			w.hasReceived = false
			return fireNext(t, p)
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newProxyWithRules(t, nil)
			p.balancer.UpdateList(balance.ListReplace, []balance.Server{{ID: "s"}}, p.now())
			now := p.now()
			at := end(p, receivingWatch(t, p, now), now)
			if p.discovery.watch != nil || p.count.Watches != 0 {
				t.Fatal("the proxy calls discovery by itself")
			}
			if h := p.host("s"); !h.ready {
				t.Error("the list in use was dropped")
			}
			if !balancerAsks(p, at, at+p.terms.AskWithin) {
				t.Error("the balancer does not ask within the time that the settings give")
			}
		})
	}
}

// An open watch without anything to send is kept: what is written to one that is replaced counts as delivered.
func TestWatchWithoutLists(t *testing.T) {
	p := newProxyWithRules(t, nil)
	nb, _ := pair(t)
	w := &watch{baseConn: baseConn{nb: nb}, parser: http1.NewChunkParser(maxListBytes), connected: true}
	p.discovery.watch = w
	now := p.now()
	w.onRead(p, now, []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
	p.round()
	if p.discovery.watch != w || balancerAsks(p, now, now+30e9) {
		t.Error("another watch is opened")
	}
	p.watchAlive(w, now+1e9)
	if p.endWatch(w, now+2e9, true); !balancerAsks(p, now+2e9, now+2e9+p.terms.AskWithin) {
		t.Error("the balancer does not ask once the watch has ended")
	}
}

// Where lists are pushed, what the agent has counts as delivered even with no watch open: the next one is tried at
// once, and at least every 1.5 s while there is none, also while the proxy drains.
func TestPushedWatchReopenedAtOnce(t *testing.T) {
	p := newProxyWithRules(t, pushLists)
	p.drain.begun = true
	now := p.now()
	p.endWatch(receivingWatch(t, p, now), now+1e9, true)
	at := now + 1e9
	for i, most := range []int64{15e7, 3e8, 6e8, 12e8, 15e8, 15e8, 15e8} {
		due := fireNext(t, p)
		if wait := due - at; wait <= 0 || wait > most {
			t.Fatalf("try %d after %d ms, want %d at most", i, wait/1e6, most/1e6)
		}
		if at = due; p.discovery.watch == nil || p.count.Watches != i+1 {
			t.Fatalf("try %d did not call discovery", i)
		}
		p.endWatch(p.discovery.watch, at, true)
	}
	p.stop(p.timers[0])
	p.endWatch(receivingWatch(t, p, at), at+1e9, true) // one that received something
	if wait := nextTimer(t, p).at - at - 1e9; wait > 15e7 {
		t.Errorf("after a watch that received something it waits %d ms", wait/1e6)
	}
	p.done = true
	calls := p.count.Watches
	if fireNext(t, p); p.count.Watches != calls {
		t.Error("it calls discovery after the end of the process")
	}
}

// Where lists are pushed, what the agent has counts as delivered from the start of a process: no client is accepted
// with the older list given at start, but only for a short time. Where the balancer asks discovery, that list is
// valid, and the proxy accepts clients at once.
func TestPushedListBeforeClients(t *testing.T) {
	for name, c := range map[string]struct {
		change      func(*Config)
		listArrives bool
		open        bool // at once
	}{
		"on request":           {nil, false, true},
		"pushed, list arrives": {pushLists, true, false},
		"pushed, no list":      {pushLists, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newProxyWithRules(t, c.change)
			p.listener = newListener(nil)
			now := p.now()
			if p.scheduleAccept(false, now); p.accepting != c.open {
				t.Fatalf("open %v at the start", p.accepting)
			}
			if c.listArrives {
				r, err := parseHostList([]byte(`{"generation":8,"reset":true,"instances":[
					{"instanceId":"s","hostPort":"127.0.0.1:1","lifecycle":"draining"}]}`))
				w := receivingWatch(t, p, now)
				if p.applyLine(w, r, err, now+1e8); !p.accepting || p.host("s").ready {
					t.Errorf("open %v once the list has come, server ready %v", p.accepting, p.host("s").ready)
				}
				return
			}
			if !c.open {
				if at := fireNext(t, p); at > now+2e9 {
					t.Errorf("accepting after %d ms", (at-now)/1e6)
				}
			}
			select {
			case <-p.listener.opened:
			default:
				t.Error("clients are not accepted")
			}
		})
	}
}

// A list of another discovery counts as delivered 4 s after SIGHUP: its watch is opened at once, and the end of the
// old one does not count as a failure.
func TestMovedDiscovery(t *testing.T) {
	for name, change := range map[string]func(*Config){"on request": nil, "pushed": pushLists} {
		t.Run(name, func(t *testing.T) {
			p := newProxyWithRules(t, change)
			old := receivingWatch(t, p, p.now())
			p.discovery.failures = 9
			s := p.config
			s.Discovery = "127.0.0.1:2"
			p.Reconfigure(s)
			p.round()
			w := p.discovery.watch
			if !old.closed || w == nil || w == old || p.count.Watches != 1 || !p.host("s").ready {
				t.Fatalf("%d calls, the old watch closed %v", p.count.Watches, old.closed)
			}
			if lost := p.count.WatchesLost; lost != 0 {
				t.Errorf("%d watches lost", lost)
			}
			if name == "on request" {
				return
			}
			now := p.now()
			p.endWatch(w, now, true) // the first call fails
			if wait := nextTimer(t, p).at - now; wait > 15e7 {
				t.Errorf("the next call after %d ms", wait/1e6)
			}
		})
	}
}

// After SIGTERM clients still send on connections that stay open. An idle one is closed. One with unread data in
// the kernel or part of a request stays open until its response, which ends it.
func TestSIGTERMAnswersSentRequests(t *testing.T) {
	p := newProxyWithRules(t, nil)
	p.config.KnownHosts, p.drain.begun = nil, true
	p.applyList(balance.ListReplace, hostList{Instances: []hostEntry{}}, p.now()) // no server: each request is denied
	resting, _, _ := connectClient(t, p)
	unread, other, unreadIn := connectClient(t, p)
	half, _, halfIn := connectClient(t, p)
	half.incoming = true
	call := "POST /api HTTP/1.1\r\nHost: a\r\nRequest-Id: a\r\nRequest-Class: once\r\nRequest-Timeout: 1\r\n" +
		"Content-Length: 0\r\n\r\n"
	if _, err := other.Write([]byte(call)); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); unread.noInput() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	now := p.now()
	p.closeIdleClients(now)
	if !resting.closed || unread.closed || half.closed {
		t.Fatalf("closed: idle %v, unread %v, partial %v", resting.closed, unread.closed, half.closed)
	}
	unread.onRead(p, now, []byte(call))
	half.onRead(p, now, []byte(strings.Replace(call, "Id: a", "Id: b", 1)))
	p.round()
	advanceTime(t, p, now, now+1e9)
	for name, in := range map[string]*bufio.Reader{"unread": unreadIn, "half": halfIn} {
		if r := readResponse(t, in); r.StatusCode != http.StatusServiceUnavailable || !r.Close {
			t.Errorf("%s: got %d, last %v", name, r.StatusCode, r.Close)
		}
	}
}

// The process does not end before an admitted request has its response, as long as its client may wait.
func TestSIGTERMWaitsForRequests(t *testing.T) {
	p := newProxyWithRules(t, nil)
	now := p.now()
	r := &request{receivedAt: now + 2e9, msg: newRequest("once", "a", 25e8)}
	p.requests[1] = r
	p.awaitEnd(now)
	if advanceTime(t, p, now, now+44e8); p.done {
		t.Fatal("ended with an open request whose client waits")
	}
	if advanceTime(t, p, now+44e8, now+46e8); !p.done {
		t.Fatal("waits for longer than the client does")
	}
	p = newProxyWithRules(t, nil)
	r = &request{receivedAt: now, msg: newRequest("once", "a", 3600e9)}
	p.requests[1] = r
	p.awaitEnd(now)
	if advanceTime(t, p, now, now+31e8); !p.done {
		t.Fatal("a client timeout of an hour delays the end")
	}
}

// What was written for a client that reads slowly is sent before its connection is closed in a drain.
func TestClosedAfterResponse(t *testing.T) {
	p := newProxyWithRules(t, nil)
	c, _, _ := connectClient(t, p)
	c.queued.Add(10) // not accepted by the kernel yet
	now := p.now()
	p.closeGradually(now, now-10e9, func() bool { return true })
	if c.closed {
		t.Fatal("the response was cut off")
	}
	c.accepted.Add(10)
	if p.closeGradually(now, now-10e9, func() bool { return true }); !c.closed {
		t.Fatal("an idle client's connection stays open")
	}
}

// Each request has its final response before its client's timeout: 503 if it certainly never ran, as is always so
// if it was never sent, or may run again, and 502 if it may have run.
func TestFinalResponseInTime(t *testing.T) {
	for name, c := range map[string]struct {
		rules string
		sent  bool
		want  int
	}{
		"never sent, not to be repeated": {"once", false, http.StatusServiceUnavailable},
		"never sent":                     {"again", false, http.StatusServiceUnavailable},
		"sent, not to be repeated":       {"once", true, http.StatusBadGateway},
		"sent":                           {"again", true, http.StatusServiceUnavailable},
	} {
		for _, timeout := range []int64{2e8, 8e8, 3e9} {
			t.Run(fmt.Sprint(name, " ", timeout/1e6), func(t *testing.T) {
				p := newProxyWithRules(t, nil)
				now := p.now()
				if c.sent { // the server never answers
					host, _ := newParkedConn(t, p, now-1e9)
					attach(t, p, host)
				} else {
					p.applyList(balance.ListReplace, hostList{Instances: []hostEntry{}}, now)
				}
				cl, _, in := connectClient(t, p)
				p.queueRequest(cl, queuedRequest{Request: newRequest(c.rules, "a", timeout), at: now})
				advanceTime(t, p, now, now+timeout-1)
				if cl.request != nil {
					t.Fatal("no response within the client's timeout")
				}
				if p.count.Sent > 0 != c.sent {
					t.Fatalf("%d dispatches", p.count.Sent)
				}
				if r := readResponse(t, in); r.StatusCode != c.want {
					t.Errorf("got %d, want %d", r.StatusCode, c.want)
				}
			})
		}
	}
}

// A new connection is not closed on its request, however few descriptors are left: the request is denied.
func TestNewConnectionIsAnswered(t *testing.T) {
	p := newProxyWithRules(t, func(s *Config) { s.Sockets = reservedFDs + 8 })
	for range 8 {
		c, _, _ := connectClient(t, p)
		c.request = &request{}
	}
	nb, other := pair(t)
	c := newClient(nb)
	attach(t, p, c)
	now := p.now()
	p.addClient(c, now)
	if c.closed || !c.noDescriptor {
		t.Fatalf("closed %v, extra %v", c.closed, c.noDescriptor)
	}
	p.queueRequest(c, queuedRequest{Request: newRequest("once", "a", 1e9), at: now})
	_ = other.SetReadDeadline(time.Now().Add(10 * time.Second))
	if r := readResponse(t, bufio.NewReader(other)); r.StatusCode != http.StatusServiceUnavailable || !r.Close {
		t.Errorf("got %d, last %v", r.StatusCode, r.Close)
	}
	if p.count.Taken != 0 || p.count.Crowded != 1 {
		t.Errorf("%d requests, %d crowded", p.count.Taken, p.count.Crowded)
	}
	// An idle connection with an unread request is not closed either.
	p = newProxyWithRules(t, nil)
	c, other, _ = connectClient(t, p)
	_, _ = other.Write([]byte("POST"))
	for end := time.Now().Add(10 * time.Second); c.noInput() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if p.closeLongestIdle(p.now()+10e9, 0) || c.closed {
		t.Error("closed while a request was unread")
	}
}

// No table grows without bound with what discovery and clients send.
func TestNothingGrows(t *testing.T) {
	p := newProxyWithRules(t, nil)
	now := p.now()
	p.applyList(balance.ListReplace, hostList{Instances: []hostEntry{}}, now)
	cl, _, in := connectClient(t, p)
	for i := range 3000 {
		at := now + int64(i)*1e8
		id := fmt.Sprint(i)
		p.applyList(balance.ListReplace, hostList{Generation: int64(i), Instances: []hostEntry{
			{ID: "h" + id, Addr: "127.0.0.1:1", State: "draining"},
			{ID: "g" + id, Addr: "127.0.0.1:1", State: "draining"}}}, at)
		p.watchAlive(receivingWatch(t, p, at), at)
		p.discovery.watch = nil
		if i%10 == 0 {
			p.queueRequest(cl, queuedRequest{Request: newRequest("once", id, 1e9), at: at})
			advanceTime(t, p, at, at+99e6)
			readResponse(t, in)
		}
		p.timers = p.timers[:0]
	}
	advanceTime(t, p, now+300e9, now+301e9)
	if len(p.hosts) > 2 || len(p.requests) != 0 || len(p.ids) != 0 || len(p.events) > 3000 {
		t.Errorf("%d hosts, %d requests, %d ids", len(p.hosts), len(p.requests), len(p.ids))
	}
	for i := range 2 * maxSeenIDs {
		p.rememberID(fmt.Sprint("seen ", i))
	}
	if len(p.seen) > maxSeenIDs || len(p.seenOrder) > maxSeenIDs {
		t.Errorf("%d ids remembered, %d in order", len(p.seen), len(p.seenOrder))
	}
}

// A busy loop counts as a crash: with an open request, a silent client and an open watch, at least one tick passes
// between rounds.
func TestLoopWaits(t *testing.T) {
	p := newProxyWithRules(t, nil)
	now := p.now()
	p.applyList(balance.ListReplace, hostList{Instances: []hostEntry{}}, now)
	receivingWatch(t, p, now)
	cl, _, _ := connectClient(t, p)
	p.startReadTimer(cl, now)
	p.drain.begun = true
	p.after(now, acceptGraceNs, p.closeIdleClients)
	p.queueRequest(cl, queuedRequest{Request: newRequest("once", "a", 1e9), at: now})
	if n := advanceTime(t, p, now, now+2e9); n > 2e9/5e6+50 {
		t.Errorf("%d rounds in 2 s", n)
	}
}

// The operators' bench refuses programs that start others or move bytes past the process: nothing of that is
// called, and the program is one process, linked against the C library.
func TestSingleProcess(t *testing.T) {
	refused := regexp.MustCompile(`^(Fork.*|Clone.*|Exec|StartProcess|Splice|Tee|Vmsplice|Send[fF]ile|(?i)io_?uring.*)$`)
	seen := 0
	roots := []string{".", "../balance", "../terms", "../fleet", "../keys", "../conf", "../internal"}
	for _, root := range roots {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			seen++
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			for _, x := range f.Imports {
				if x.Path.Value == `"os/exec"` || x.Path.Value == `"plugin"` {
					t.Errorf("%s imports %s", path, x.Path.Value)
				}
			}
			ast.Inspect(f, func(n ast.Node) bool {
				s, ok := n.(*ast.SelectorExpr)
				if !ok {
					return true
				}
				if of, ok := s.X.(*ast.Ident); ok && slices.Contains([]string{"syscall", "unix", "os"}, of.Name) &&
					refused.MatchString(s.Sel.Name) {
					t.Errorf("%s calls %s.%s", path, of.Name, s.Sel.Name)
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if seen < 40 {
		t.Fatalf("looked at %d files only", seen)
	}
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Build, Run string }
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(deploy.Run, "exec ") || strings.ContainsAny(deploy.Run, "&|;") {
		t.Errorf("run is %q, want one process by exec", deploy.Run)
	}
	b := deploy.Build
	if !strings.Contains(b, "CGO_ENABLED=1") || !strings.Contains(b, "-linkmode=external") {
		t.Errorf("build is %q, want it linked against the C library", deploy.Build)
	}
}
