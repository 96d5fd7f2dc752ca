package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

func TestAdminCalls(t *testing.T) {
	h := newFakeHost(t, replyWith(httpResponse(200, "", "body"), true))
	p := startProxy(t, unreachableAddr, 1024, hostEntry("s-1", h.Addr().String(), "ready"))
	for range 30 { // clients that never finish their request
		c, err := net.Dial("tcp", p.adminAddr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_, _ = io.WriteString(c, "PUT /hos")
	}
	for _, c := range []struct {
		method, path string
		status       int
	}{
		{"GET", "/healthcheck", 200}, {"PUT", "/hosts/s-1/maint", 200}, {"PUT", "/hosts/s-1/maint", 200},
		{"PUT", "/hosts/s-1/ready", 200}, {"PUT", "/hosts/s-1/ready", 200}, {"PUT", "/hosts/never/maint", 404},
		{"PUT", "/hosts/never/ready", 404}, {"GET", "/hosts/s-1/maint", 405}, {"GET", "/nothing", 404},
		{"PUT", "/healthcheck/fail", 200}, {"PUT", "/healthcheck/fail", 200}, {"GET", "/healthcheck", 503},
		{"PUT", "/healthcheck/ok", 200}, {"PUT", "/healthcheck/ok", 200}, {"GET", "/healthcheck", 200},
	} {
		if got := p.callAdminAPI(t, c.method, c.path); got != c.status {
			t.Errorf("%s %s: got %d, want %d", c.method, c.path, got, c.status)
		}
	}
	if _, err := os.Stat(p.configPath); err != nil {
		t.Fatal(err)
	}
}

// A host that an operator has taken out gets no requests, whatever lists say, until the operator puts it back.
func TestDisabledHost(t *testing.T) {
	p, one, two, d := twoHostsInherited(t)
	p.start(t)
	<-d.watchedFrom
	sendRequests := func(p *proxyProcess, n int) {
		t.Helper()
		for i := range n {
			if r, _ := p.do(t, strings.Replace(clientRequest("GET", "x", "again", ""), "Key: k",
				fmt.Sprint("Key: k", i), 1)); r.StatusCode != 200 {
				t.Fatalf("got %d, want 200", r.StatusCode)
			}
		}
	}
	sendRequests(p, 40)
	if one.requestCount() == 0 || two.requestCount() == 0 {
		t.Fatal("one of the hosts is not in use")
	}
	if got := p.callAdminAPI(t, "PUT", "/hosts/s-1/maint"); got != 200 {
		t.Fatalf("got %d", got)
	}
	before := one.requestCount()
	lines := 0
	sendList := func(line string) {
		t.Helper()
		d.lines <- line
		lines++
		eventually(t, "the line is read", func() bool { return p.counters(t)["lines"] >= lines })
	}
	expectUnused := func(when string, p *proxyProcess) {
		t.Helper()
		if sendRequests(p, 20); one.requestCount() != before {
			t.Fatalf("%s: the host that was taken out got a request", when)
		}
	}
	expectUnused("at once", p)
	sendList(hostList(2, false, hostEntry("s-1", one.Addr().String(), "ready")))
	expectUnused("listed as ready", p)
	sendList(hostList(3, false, hostEntry("s-1", one.Addr().String(), "gone")))
	expectUnused("no longer listed", p)
	if got := p.callAdminAPI(t, "PUT", "/hosts/s-1/maint"); got != 200 {
		t.Errorf("got %d for a host that is out and no longer listed, want 200", got)
	}
	restarted := strings.Replace(hostEntry("s-1", one.Addr().String(), "ready"), `"startedAtMs":0`,
		fmt.Sprintf(`"startedAtMs":%d`, time.Now().UnixMilli()), 1)
	sendList(hostList(4, false, restarted))
	expectUnused("restarted", p)
	next := p.secondProcess(t)
	next.start(t)
	_ = p.Process.Signal(syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		t.Fatalf("got %v, want exit 0: %s", err, p.out)
	}
	expectUnused("in the next process", next)
	if got := next.callAdminAPI(t, "PUT", "/hosts/s-1/ready"); got != 200 {
		t.Fatalf("got %d", got)
	}
	eventually(t, "the host is in use again", func() bool { sendRequests(next, 1); return one.requestCount() > before })
}

// After /healthcheck/fail the proxy closes its client connections one by one and keeps running; after /healthcheck/ok
// it keeps them again.
func TestEvictClients(t *testing.T) {
	h := newFakeHost(t, replyWith(httpResponse(200, "", "body"), true))
	p := startProxy(t, unreachableAddr, 1024, hostEntry("s-1", h.Addr().String(), "ready"))
	var idle []*bufio.Reader
	for i := range 20 {
		c, in := p.dial(t)
		if i%2 == 0 { // the others send nothing
			_, _ = io.WriteString(c, clientRequest("POST", fmt.Sprint("a", i), "once", ""))
			readResponse(t, in)
		}
		idle = append(idle, in)
	}
	busy, busyIn := p.dial(t)
	health := func() int { r, _ := p.do(t, "GET /_health HTTP/1.1\r\n\r\n"); return r.StatusCode }
	if got := health(); got != 200 {
		t.Fatalf("got %d", got)
	}
	p.callAdminAPI(t, "PUT", "/healthcheck/fail")
	if got := health(); got == 200 {
		t.Fatal("got a healthy answer from a proxy that is evicting its clients")
	}
	_, _ = io.WriteString(busy, clientRequest("POST", "b", "once", ""))
	if r, _ := readResponse(t, busyIn); r.StatusCode != 200 || !r.Close {
		t.Errorf("got %d, close %v, want the last response", r.StatusCode, r.Close)
	}
	if r, _ := p.do(t, clientRequest("POST", "c", "once", "")); r.StatusCode != 200 || !r.Close {
		t.Errorf("got %d, close %v for a new client, want one response and a close", r.StatusCode, r.Close)
	}
	for i, in := range idle {
		if _, err := in.ReadByte(); err != io.EOF {
			t.Fatalf("connection %d: got %v, want it closed", i, err)
		}
	}
	p.callAdminAPI(t, "PUT", "/healthcheck/ok")
	if got := health(); got != 200 {
		t.Fatalf("got %d after ok", got)
	}
	kept, in := p.dial(t)
	for i := range 2 {
		_, _ = io.WriteString(kept, clientRequest("POST", fmt.Sprint("d", i), "once", ""))
		if r, _ := readResponse(t, in); r.StatusCode != 200 || r.Close {
			t.Errorf("got %d, close %v, want clients kept again", r.StatusCode, r.Close)
		}
	}
	p.callAdminAPI(t, "PUT", "/healthcheck/fail")
	_ = p.Process.Signal(syscall.SIGTERM) // the process also drains in this state
	if err := p.Wait(); err != nil {
		t.Fatalf("got %v, want exit 0: %s", err, p.out)
	}
}

// New settings are applied completely or not at all, and never to open requests.
func TestReloadSettings(t *testing.T) {
	release := make(chan string)
	h := newFakeHost(t, replyOnRelease(release, httpResponse(200, "", "body")))
	p := startProxy(t, unreachableAddr, 1024, hostEntry("s-1", h.Addr().String(), "ready"))
	valid := p.configText(t)
	edit := func(from, to string) string {
		t.Helper()
		if !strings.Contains(valid, from) {
			t.Fatalf("no %q in the configuration", from)
		}
		return strings.Replace(valid, from, to, 1)
	}
	renamed := edit(`"Name":"once"`, `"Name":"new"`) // shows whether any part of a file was applied
	for name, file := range map[string]string{
		"empty":                   "",
		"truncated":               renamed[:len(renamed)-20],
		"no settings":             strings.Replace(renamed, `"settings"`, `"other"`, 1),
		"no ceilings":             strings.Replace(renamed, `"Ceilings"`, `"Others"`, 1),
		"no rule sets":            strings.Replace(renamed, `"RuleSets"`, `"Others"`, 1),
		"an omitted name":         strings.Replace(renamed, `"Unknown":{"New":1},`, "", 1),
		"no effect":               strings.Replace(renamed, `"Effect":"fragile",`, "", 1),
		"no dispatches":           strings.Replace(renamed, `"MaxDispatches":3`, `"MaxDispatches":0`, 1),
		"dispatches not a number": strings.Replace(renamed, `"MaxDispatches":3`, `"MaxDispatches":"few"`, 1),
		"no client timeout":       strings.Replace(renamed, `"ClientTimeoutNs":3000000000`, `"ClientTimeoutNs":-1`, 1),
		"no response target":      strings.Replace(renamed, `"ResponseTargetNs":800000000`, `"ResponseTargetNs":0`, 1),
		"no limits":               strings.Replace(renamed, `"limits"`, `"other"`, 1),
		"other listen address":    strings.Replace(renamed, p.addr, "127.0.0.1:9", 1),
	} {
		t.Run(name, func(t *testing.T) {
			warned := p.out.count("new configuration ignored")
			p.reload(t, file)
			eventually(t, "one warning", func() bool { return p.out.count("new configuration ignored") == warned+1 })
			if r, _ := p.do(t, clientRequest("POST", "a", "once", "")); r.StatusCode != 200 {
				t.Errorf("got %d under the old settings, want 200", r.StatusCode)
			}
			if r, _ := p.do(t, clientRequest("POST", "a", "new", "")); r.StatusCode != 400 {
				t.Errorf("got %d under settings of an invalid file, want 400", r.StatusCode)
			}
		})
	}
	conn, in := p.dial(t)
	before := h.requestCount() + 1 // counted before sending, since the request may arrive at once
	_, _ = io.WriteString(conn, clientRequest("POST", "slow", "once", ""))
	eventually(t, "the open request is at the host", func() bool { return h.requestCount() == before })
	// The rule set keeps its name but gets another effect: the open request must still not be retried.
	p.reload(t, strings.Replace(edit(`"Effect":"fragile"`, `"Effect":"retryable"`), `"Name":"again"`, `"Name":"added"`, 1))
	eventually(t, "the file is applied", func() bool { return p.counters(t)["reloads"] == 1 })
	release <- httpResponse(500, "", "")
	if r, _ := readResponse(t, in); r.StatusCode != 502 {
		t.Errorf("got %d for the open request, want 502 by the rules in force when it came", r.StatusCode)
	}
	if r, _ := p.do(t, clientRequest("GET", "b", "added", "")); r.StatusCode != 200 {
		t.Errorf("got %d for a rule set that was added, want 200", r.StatusCode)
	}
	if r, _ := p.do(t, clientRequest("GET", "b", "again", "")); r.StatusCode != 400 {
		t.Errorf("got %d for a rule set that was dropped, want 400", r.StatusCode)
	}
	if r, _ := p.do(t, clientRequest("GET", "b", "once", "")); r.StatusCode != 200 {
		t.Errorf("got %d for a rule set that is replayable now, want 200", r.StatusCode)
	}
}

// Processes replace one another on the inherited listener while clients send requests without a pause. Each request
// gets one response, none is executed twice, and no connection is refused or reset.
func TestUpgrade(t *testing.T) {
	h := newFakeHost(t, func(c net.Conn, _ *http.Request) bool {
		time.Sleep(2 * time.Millisecond)
		_, _ = io.WriteString(c, httpResponse(200, "", "body"))
		return true
	})
	d := newFakeDiscovery(t)
	p := prepareProxy(t, d.addr, 1024, hostEntry("s-1", h.Addr().String(), "ready"))
	p.listener = inheritedListener(t, p.addr)
	p.start(t)
	var answered, crossed, bad atomic.Int64
	stop := make(chan bool)
	var clients sync.WaitGroup
	for n := range 8 {
		clients.Go(func() {
			var c net.Conn
			var in *bufio.Reader
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%d-%d", n, i)
				for try := 0; ; try++ {
					fresh := c == nil
					if fresh {
						var err error
						if c, err = net.Dial("tcp", p.addr); err != nil {
							bad.Add(1)
							return
						}
						in = bufio.NewReader(c)
					}
					_ = c.SetDeadline(time.Now().Add(testTimeout))
					_, _ = io.WriteString(c, clientRequest("POST", id, "once", ""))
					r, err := http.ReadResponse(in, nil)
					if err != nil { // an idle connection may be closed: the client retries once on a new one
						_ = c.Close()
						if c = nil; fresh || try > 0 {
							bad.Add(1)
							return
						}
						crossed.Add(1)
						continue
					}
					_, _ = io.ReadAll(r.Body)
					if r.StatusCode != 200 {
						bad.Add(1)
					}
					if answered.Add(1); r.Close {
						_ = c.Close()
						c = nil
					}
					break
				}
			}
		})
	}
	const upgrades = 3
	for range upgrades {
		next := p.secondProcess(t)
		next.start(t)
		seen := answered.Load()
		eventually(t, "both processes serve", func() bool { return answered.Load() > seen+100 })
		if err := p.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := p.Wait(); err != nil {
			t.Fatalf("got %v, want exit 0: %s", err, p.out)
		}
		p = next
	}
	close(stop)
	clients.Wait()
	if bad.Load() > 0 {
		t.Errorf("got %d requests refused, reset or not served of %d", bad.Load(), answered.Load())
	}
	if crossed.Load() > upgrades {
		t.Errorf("got %d requests that crossed a close, want at most one for each upgrade", crossed.Load())
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	runs := map[string]int{}
	for _, id := range h.ids {
		if runs[id]++; runs[id] > 1 {
			t.Errorf("%s was executed twice", id)
		}
	}
	if int64(len(runs)) != answered.Load() {
		t.Errorf("got %d executions for %d responses", len(runs), answered.Load())
	}
}

func TestBadDescriptor(t *testing.T) {
	p := prepareProxy(t, unreachableAddr, 1024)
	for _, fd := range []string{"x", "1", "77"} {
		t.Run(fd, func(t *testing.T) {
			out, code := p.runToFailure(t, "GW_SOCKET_FD="+fd)
			if code != 2 || strings.Count(out, "\n") != 1 {
				t.Errorf("got %d, %q, want exit 2 and one line", code, out)
			}
		})
	}
}

// Either process of an upgrade may be killed at any time: the other goes on, with the host list and all hosts that
// operators have taken out.
func TestUpgradeKilled(t *testing.T) {
	p, one, _, _ := twoHostsInherited(t)
	p.start(t)
	if got := p.callAdminAPI(t, "PUT", "/hosts/s-1/maint"); got != 200 {
		t.Fatalf("got %d", got)
	}
	before := one.requestCount()
	expectServed := func(p *proxyProcess, when string) {
		t.Helper()
		for i := range 30 {
			c, in := p.dial(t)
			_, _ = io.WriteString(c, strings.Replace(clientRequest("GET", fmt.Sprint(when, i), "again", ""),
				"Key: k", fmt.Sprint("Key: k", i), 1))
			r, err := http.ReadResponse(in, nil)
			if err != nil || r.StatusCode != 200 {
				t.Fatalf("%s: got %v, %v", when, r, err)
			}
			_ = c.Close()
		}
		if one.requestCount() != before {
			t.Fatalf("%s: a host that was taken out got a request", when)
		}
	}
	waitAlone := func(p *proxyProcess) {
		t.Helper()
		eventually(t, "it sees that no other process runs", func() bool {
			return p.out.count("beside this one: false") == p.out.count("beside this one: true")/2 ||
				p.out.count("beside this one: false") > 0
		})
	}
	next := p.secondProcess(t)
	next.start(t)
	_ = next.Process.Kill()
	_ = next.Wait()
	waitAlone(p)
	expectServed(p, "the new one killed")
	next = p.secondProcess(t)
	next.start(t)
	_ = p.Process.Kill()
	_ = p.Wait()
	waitAlone(next)
	expectServed(next, "the old one killed")
	if got := next.callAdminAPI(t, "PUT", "/hosts/s-1/ready"); got != 200 {
		t.Errorf("got %d for the host that was taken out through the killed process", got)
	}
}
