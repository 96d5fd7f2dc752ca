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

func TestDoorOfProgram(t *testing.T) {
	h := newHost(t, saying(text(200, "", "body"), true))
	p := begin(t, nowhere, 1024, entry("s-1", h.Addr().String(), "ready"))
	for range 30 { // callers that finish no call
		c, err := net.Dial("tcp", p.admin)
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
		if got := p.operate(t, c.method, c.path); got != c.status {
			t.Errorf("%s %s: got %d, want %d", c.method, c.path, got, c.status)
		}
	}
	if _, err := os.Stat(p.config); err != nil {
		t.Fatal(err)
	}
}

// A host that is out gets nothing, whatever the list says meanwhile, until the call that puts it back.
func TestHold(t *testing.T) {
	p, one, two, d := pairOnInherited(t)
	p.start(t)
	<-d.asked
	ask := func(p *program, n int) {
		t.Helper()
		for i := range n {
			if r, _ := p.ask(t, strings.Replace(call("GET", "x", "again", ""), "Key: k", fmt.Sprint("Key: k", i), 1)); r.StatusCode != 200 {
				t.Fatalf("got %d, want 200", r.StatusCode)
			}
		}
	}
	ask(p, 40)
	if one.seen() == 0 || two.seen() == 0 {
		t.Fatal("one of the hosts is not in use")
	}
	if got := p.operate(t, "PUT", "/hosts/s-1/maint"); got != 200 {
		t.Fatalf("got %d", got)
	}
	before := one.seen()
	lines := 0
	told := func(line string) {
		t.Helper()
		d.lines <- line
		lines++
		eventually(t, "the line is taken", func() bool { return p.counters(t)["lines"] >= lines })
	}
	out := func(what string, p *program) {
		t.Helper()
		if ask(p, 20); one.seen() != before {
			t.Fatalf("%s: the host that is out got a req", what)
		}
	}
	out("at once", p)
	told(list(2, false, entry("s-1", one.Addr().String(), "ready")))
	out("listed as ready", p)
	told(list(3, false, entry("s-1", one.Addr().String(), "gone")))
	out("unlisted", p)
	if got := p.operate(t, "PUT", "/hosts/s-1/maint"); got != 200 {
		t.Errorf("got %d for a host that is out and unlisted, want 200", got)
	}
	restarted := strings.Replace(entry("s-1", one.Addr().String(), "ready"), `"startedAtMs":0`, fmt.Sprintf(`"startedAtMs":%d`, time.Now().UnixMilli()), 1)
	told(list(4, false, restarted))
	out("started anew", p)
	next := p.beside(t)
	next.start(t)
	_ = p.Process.Signal(syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		t.Fatalf("got %v, want exit 0: %s", err, p.out)
	}
	out("in the next process", next)
	if got := next.operate(t, "PUT", "/hosts/s-1/ready"); got != 200 {
		t.Fatalf("got %d", got)
	}
	eventually(t, "the host is in use again", func() bool { ask(next, 1); return one.seen() > before })
}

// Emptied, the proxy sends its clients away, one by one, and lives; then it takes them again.
func TestEmpty(t *testing.T) {
	h := newHost(t, saying(text(200, "", "body"), true))
	p := begin(t, nowhere, 1024, entry("s-1", h.Addr().String(), "ready"))
	var resting []*bufio.Reader
	for i := range 20 {
		c, in := p.dial(t)
		if i%2 == 0 { // the others say nothing
			_, _ = io.WriteString(c, call("POST", fmt.Sprint("a", i), "once", ""))
			answer(t, in)
		}
		resting = append(resting, in)
	}
	busy, busyIn := p.dial(t)
	health := func() int { r, _ := p.ask(t, "GET /_health HTTP/1.1\r\n\r\n"); return r.StatusCode }
	if got := health(); got != 200 {
		t.Fatalf("got %d", got)
	}
	p.operate(t, "PUT", "/healthcheck/fail")
	if got := health(); got == 200 {
		t.Fatal("got yes from a proxy that is emptied")
	}
	_, _ = io.WriteString(busy, call("POST", "b", "once", ""))
	if r, _ := answer(t, busyIn); r.StatusCode != 200 || !r.Close {
		t.Errorf("got %d, close %v, want a last answer", r.StatusCode, r.Close)
	}
	if r, _ := p.ask(t, call("POST", "c", "once", "")); r.StatusCode != 200 || !r.Close {
		t.Errorf("got %d, close %v for a client that still comes, want it served, once", r.StatusCode, r.Close)
	}
	for i, in := range resting {
		if _, err := in.ReadByte(); err != io.EOF {
			t.Fatalf("connection %d: got %v, want it ended", i, err)
		}
	}
	p.operate(t, "PUT", "/healthcheck/ok")
	if got := health(); got != 200 {
		t.Fatalf("got %d after ok", got)
	}
	stays, in := p.dial(t)
	for i := range 2 {
		_, _ = io.WriteString(stays, call("POST", fmt.Sprint("d", i), "once", ""))
		if r, _ := answer(t, in); r.StatusCode != 200 || r.Close {
			t.Errorf("got %d, close %v, want clients kept again", r.StatusCode, r.Close)
		}
	}
	p.operate(t, "PUT", "/healthcheck/fail")
	_ = p.Process.Signal(syscall.SIGTERM) // also then it ends well
	if err := p.Wait(); err != nil {
		t.Fatalf("got %v, want exit 0: %s", err, p.out)
	}
}

// New settings are taken whole or not at all, and never by reqs that are open.
func TestRetune(t *testing.T) {
	release := make(chan string)
	h := newHost(t, onRelease(release, text(200, "", "body")))
	p := begin(t, nowhere, 1024, entry("s-1", h.Addr().String(), "ready"))
	whole := p.text(t)
	edit := func(from, to string) string {
		t.Helper()
		if !strings.Contains(whole, from) {
			t.Fatalf("no %q in the configuration", from)
		}
		return strings.Replace(whole, from, to, 1)
	}
	renamed := edit(`"Name":"once"`, `"Name":"new"`) // shows if anything of a file was taken
	for name, file := range map[string]string{
		"empty":               "",
		"cut":                 renamed[:len(renamed)-20],
		"no settings":         strings.Replace(renamed, `"settings"`, `"other"`, 1),
		"no ceilings":         strings.Replace(renamed, `"Ceilings"`, `"Others"`, 1),
		"no rule sets":        strings.Replace(renamed, `"RuleSets"`, `"Others"`, 1),
		"a name unknown here": strings.Replace(renamed, `"Unknown":{"New":1},`, "", 1),
		"no effect":           strings.Replace(renamed, `"Effect":"fragile",`, "", 1),
		"no dispatch":         strings.Replace(renamed, `"MaxDispatches":3`, `"MaxDispatches":0`, 1),
		"half a dispatch":     strings.Replace(renamed, `"MaxDispatches":3`, `"MaxDispatches":"few"`, 1),
		"no client timeout":   strings.Replace(renamed, `"ClientTimeoutNs":3000000000`, `"ClientTimeoutNs":-1`, 1),
		"no response target":  strings.Replace(renamed, `"ResponseTargetNs":800000000`, `"ResponseTargetNs":0`, 1),
		"no limits":           strings.Replace(renamed, `"limits"`, `"other"`, 1),
		"other listener":      strings.Replace(renamed, p.addr, "127.0.0.1:9", 1),
	} {
		t.Run(name, func(t *testing.T) {
			warned := p.out.count("new configuration ignored")
			p.hup(t, file)
			eventually(t, "one warning", func() bool { return p.out.count("new configuration ignored") == warned+1 })
			if r, _ := p.ask(t, call("POST", "a", "once", "")); r.StatusCode != 200 {
				t.Errorf("got %d under the old rules, want 200", r.StatusCode)
			}
			if r, _ := p.ask(t, call("POST", "a", "new", "")); r.StatusCode != 400 {
				t.Errorf("got %d under rules of a broken file, want 400", r.StatusCode)
			}
		})
	}
	conn, in := p.dial(t)
	before := h.seen() + 1 // before it is sent: it may be there at once
	_, _ = io.WriteString(conn, call("POST", "slow", "once", ""))
	eventually(t, "the open req is at the host", func() bool { return h.seen() == before })
	// The name comes back with another effect: what is open must still not go again.
	p.hup(t, strings.Replace(edit(`"Effect":"fragile"`, `"Effect":"retryable"`), `"Name":"again"`, `"Name":"added"`, 1))
	eventually(t, "the file is taken", func() bool { return p.counters(t)["reloads"] == 1 })
	release <- text(500, "", "")
	if r, _ := answer(t, in); r.StatusCode != 502 {
		t.Errorf("got %d for the open req, want 502 by the rules that it came with", r.StatusCode)
	}
	if r, _ := p.ask(t, call("GET", "b", "added", "")); r.StatusCode != 200 {
		t.Errorf("got %d for a rule set that was added, want 200", r.StatusCode)
	}
	if r, _ := p.ask(t, call("GET", "b", "again", "")); r.StatusCode != 400 {
		t.Errorf("got %d for a rule set that was dropped, want 400", r.StatusCode)
	}
	if r, _ := p.ask(t, call("GET", "b", "once", "")); r.StatusCode != 200 {
		t.Errorf("got %d for a rule set that is replayable now, want 200", r.StatusCode)
	}
}

// Processes take over from one another on the inherited listener while clients ask without a pause: each req gets its
// one answer, none runs twice, none meets a refused or reset connection.
func TestUpgrade(t *testing.T) {
	h := newHost(t, func(c net.Conn, _ *http.Request) bool {
		time.Sleep(2 * time.Millisecond)
		_, _ = io.WriteString(c, text(200, "", "body"))
		return true
	})
	d := newRegistry(t)
	p := prepare(t, d.addr, 1024, entry("s-1", h.Addr().String(), "ready"))
	p.listener = inherit(t, p.addr)
	p.start(t)
	var asked, crossed, bad atomic.Int64
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
					_ = c.SetDeadline(time.Now().Add(patience))
					_, _ = io.WriteString(c, call("POST", id, "once", ""))
					r, err := http.ReadResponse(in, nil)
					if err != nil { // a connection at rest may be closed: the client sends once more on a new one
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
					if asked.Add(1); r.Close {
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
		next := p.beside(t)
		next.start(t)
		seen := asked.Load()
		eventually(t, "both serve", func() bool { return asked.Load() > seen+100 })
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
		t.Errorf("got %d reqs refused, reset or not served of %d", bad.Load(), asked.Load())
	}
	if crossed.Load() > upgrades {
		t.Errorf("got %d reqs that crossed a close, want next to none", crossed.Load())
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	runs := map[string]int{}
	for _, id := range h.calls {
		if runs[id]++; runs[id] > 1 {
			t.Errorf("%s ran twice", id)
		}
	}
	if int64(len(runs)) != asked.Load() {
		t.Errorf("got %d executions for %d answers", len(runs), asked.Load())
	}
}

func TestBadDescriptor(t *testing.T) {
	p := prepare(t, nowhere, 1024)
	for _, fd := range []string{"x", "1", "77"} {
		t.Run(fd, func(t *testing.T) {
			out, code := p.fails(t, "GW_SOCKET_FD="+fd)
			if code != 2 || strings.Count(out, "\n") != 1 {
				t.Errorf("got %d, %q, want exit 2 and one plain line", code, out)
			}
		})
	}
}

// Either process of an upgrade may be killed at any moment: the other goes on, with all that the platform gives and all holds.
func TestUpgradeKilled(t *testing.T) {
	p, one, _, _ := pairOnInherited(t)
	p.start(t)
	if got := p.operate(t, "PUT", "/hosts/s-1/maint"); got != 200 {
		t.Fatalf("got %d", got)
	}
	before := one.seen()
	served := func(p *program, what string) {
		t.Helper()
		for i := range 30 {
			c, in := p.dial(t)
			_, _ = io.WriteString(c, strings.Replace(call("GET", fmt.Sprint(what, i), "again", ""), "Key: k", fmt.Sprint("Key: k", i), 1))
			r, err := http.ReadResponse(in, nil)
			if err != nil || r.StatusCode != 200 {
				t.Fatalf("%s: got %v, %v", what, r, err)
			}
			_ = c.Close()
		}
		if one.seen() != before {
			t.Fatalf("%s: a host that is out got a req", what)
		}
	}
	alone := func(p *program) {
		t.Helper()
		eventually(t, "it knows that it is alone", func() bool {
			return p.out.count("beside this one: false") == p.out.count("beside this one: true")/2 || p.out.count("beside this one: false") > 0
		})
	}
	next := p.beside(t)
	next.start(t)
	_ = next.Process.Kill()
	_ = next.Wait()
	alone(p)
	served(p, "the new one killed")
	next = p.beside(t)
	next.start(t)
	_ = p.Process.Kill()
	_ = p.Wait()
	alone(next)
	served(next, "the old one killed")
	if got := next.operate(t, "PUT", "/hosts/s-1/ready"); got != 200 {
		t.Errorf("got %d for the host that the killed one took out", got)
	}
}
