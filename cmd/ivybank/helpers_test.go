package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// binary is the program as TestMain built it.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "ivybank")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "ivybank")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// patience bounds every wait of a test; it is never part of a verdict.
const patience = 20 * time.Second

// standin is a host that answers as it is told and notes the calls that it was sent.
type standin struct {
	net.Listener
	mu     sync.Mutex
	calls  []string // ids
	bodies []string
	lost   int // connections that the proxy ended before their answer
}

// newHost starts a host; reply writes what it likes and says whether the connection stays.
func newHost(t *testing.T, reply func(c net.Conn, r *http.Request) bool) *standin {
	t.Helper()
	// Not 127.0.0.1: nbio would dial that, whatever address it was given.
	l, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &standin{Listener: l}
	t.Cleanup(func() { _ = l.Close() })
	if reply != nil { // else the test says what to do with each connection
		h.each(func(c net.Conn) { h.serve(c, reply) })
	}
	return h
}

// each takes every connection of a host, one beside another.
func (h *standin) each(do func(c net.Conn)) {
	go func() {
		for {
			c, err := h.Accept()
			if err != nil {
				return
			}
			go do(c)
		}
	}()
}

func (h *standin) serve(c net.Conn, reply func(net.Conn, *http.Request) bool) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		h.mu.Lock()
		h.calls, h.bodies = append(h.calls, r.Header.Get("Request-Id")), append(h.bodies, string(body))
		h.mu.Unlock()
		if !reply(c, r) {
			return
		}
	}
}

func (h *standin) seen() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.calls)
}

// hold waits until the proxy ends the connection.
func (h *standin) hold(c net.Conn) {
	_, _ = c.Read(make([]byte, 1))
	h.mu.Lock()
	h.lost++
	h.mu.Unlock()
}

func text(status int, more, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, more, len(body), body)
}

// saying is a host's reply that is always the same.
func saying(answer string, stays bool) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, answer)
		return stays
	}
}

// registry is a discovery service that tells its watches what it is given.
type registry struct {
	*http.Server
	addr  string
	lines chan string
	asked chan string // the version from which each watch was asked
	mute  atomic.Bool // no empty lines come
	full  atomic.Bool // calls are turned away
}

func newRegistry(t *testing.T) *registry {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &registry{addr: l.Addr().String(), lines: make(chan string), asked: make(chan string, 64)}
	r.Server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.asked <- q.URL.Query().Get("from")
		if r.full.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.(http.Flusher).Flush()
		for {
			select {
			case line := <-r.lines:
				if line == "" {
					panic(http.ErrAbortHandler) // the connection breaks
				}
				_, _ = io.WriteString(w, line+"\n")
			case <-time.After(time.Second):
				if r.mute.Load() {
					continue
				}
				_, _ = io.WriteString(w, "\n")
			case <-q.Context().Done():
				return
			}
			w.(http.Flusher).Flush()
		}
	})}
	go func() { _ = r.Serve(l) }()
	t.Cleanup(func() { _ = r.Close() })
	return r
}

func entry(id, addr, state string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"a","lifecycle":%q,"weight":1.0,"startedAtMs":0}`, id, addr, state)
}

func list(version int, reset bool, entries ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, version, reset, strings.Join(entries, ","))
}

const settings = `{"FleetSize":1,"Zone":"a","TickNs":5000000,"Discovery":"on_request","Unknown":{"New":1},
 "Ceilings":{"Cancel":true,"ConnIdleNs":60000000000,"DialTimeoutNs":250000000,"MaxDispatches":3,
  "MaxRetryAfterNs":1500000000,"RetryAfter":true,"ParallelTries":false},
 "Contract":{"AskWithinNs":2000000000,"StartCapacity":0.2,"RampTimeNs":1000000000},
 "Prices":{"CrossZone":0.02,"Waste":0.05},
 "RuleSets":[{"Name":"once","Effect":"fragile","Group":"all","ClientTimeoutNs":3000000000,"ResponseTargetNs":800000000,
   "BillingValue":1.0,"OverdueBillingValue":0.0,"WindowNs":5000000000},
  {"Name":"again","Effect":"retryable","Group":"all","ClientTimeoutNs":3000000000,"ResponseTargetNs":800000000,
   "BillingValue":1.0,"OverdueBillingValue":0.0,"WindowNs":5000000000}],
 "Tenants":[{"Name":"acme","Share":1.0,"AllowancePerS":100.0}]}`

// program is one running client proxy.
type program struct {
	*exec.Cmd
	addr, config string
	admin        string   // the operators' door
	listener     *os.File // inherited where it is set
	args         []string
	out          *output
}

// givenAddrs are the addresses that freeAddr has given to a test of this run.
var givenAddrs sync.Map

// freeAddr gives an address that is free and that no other test has been given: tests run side by side, and a program takes
// its address only some time after it was found free.
func freeAddr(t *testing.T) string {
	t.Helper()
	for {
		// No connection goes out from this address, so that none takes the port before the program does.
		l, err := net.Listen("tcp", "127.0.0.3:0")
		if err != nil {
			t.Fatal(err)
		}
		addr := l.Addr().String()
		_ = l.Close()
		if _, given := givenAddrs.LoadOrStore(addr, true); !given {
			return addr
		}
	}
}

// begin starts a proxy that knows the entries, and waits until it is ready.
func begin(t *testing.T, discovery string, sockets int, entries ...string) *program {
	t.Helper()
	p := prepare(t, discovery, sockets, entries...)
	p.start(t)
	return p
}

func (p *program) start(t *testing.T) {
	t.Helper()
	p.Cmd, p.out = exec.Command(binary, p.args...), &output{}
	p.Env = append(os.Environ(), "GW_CONFIG="+p.config, "GW_ADMIN_ADDR="+p.admin, "TMPDIR="+filepath.Dir(p.config))
	p.Stdout, p.Stderr = p.out, p.out
	if p.listener != nil {
		p.ExtraFiles, p.Env = []*os.File{p.listener}, append(p.Env, "GW_SOCKET_FD=3")
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	cmd, out := p.Cmd, p.out
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		err := cmd.Wait()
		if t.Failed() {
			t.Logf("the program at %s and %s ended with %v and wrote:\n%s", p.addr, p.admin, err, out)
		}
	})
	eventually(t, "the program is ready", func() bool { return p.operate(t, "GET", "/healthcheck") == 200 })
}

// output is what a program has written so far.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

func (o *output) count(what string) int { return strings.Count(o.String(), what) }

// fails runs the program where it cannot start.
func (p *program) fails(t *testing.T, env ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(binary, p.args...)
	cmd.Env = append(append(os.Environ(), "GW_CONFIG="+p.config, "TMPDIR="+filepath.Dir(p.config)), env...)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// operate makes one call at the door; 0 where there is none.
func (p *program) operate(t *testing.T, method, path string) int {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+p.admin+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	a, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0
	}
	_ = a.Body.Close()
	return a.StatusCode
}

// inherit has the test hold the clients' listener, as the platform would.
func inherit(t *testing.T, addr string) *os.File {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	f, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	t.Cleanup(func() { _ = f.Close() })
	return f
}

// beside is a second process of the same proxy, with a door of its own; it is not started.
func (p *program) beside(t *testing.T) *program {
	t.Helper()
	return &program{addr: p.addr, admin: freeAddr(t), config: p.config, listener: p.listener}
}

// prepare is begin without the start.
func prepare(t *testing.T, discovery string, sockets int, entries ...string) *program {
	t.Helper()
	p := &program{addr: freeAddr(t), admin: freeAddr(t), config: filepath.Join(t.TempDir(), "config.json")}
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"known":%s,"settings":%s}`,
		p.addr, discovery, sockets, list(1, true, entries...), settings)
	p.rewrite(t, text)
	return p
}

// text is the configuration as it stands.
func (p *program) text(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(p.config)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// hup replaces the configuration and has the program read it.
func (p *program) hup(t *testing.T, text string) {
	t.Helper()
	p.rewrite(t, text)
	if err := p.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}

// onRelease answers as saying does, but to the req "slow" what it is released with.
func onRelease(release <-chan string, answer string) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		said := answer
		if r.Header.Get("Request-Id") == "slow" {
			said = <-release
		}
		_, _ = io.WriteString(c, said)
		return true
	}
}

// pairOnInherited is a proxy that is not started yet, on a listener of the platform's, with two hosts and discovery.
func pairOnInherited(t *testing.T) (p *program, one, two *standin, d *registry) {
	t.Helper()
	one, two = newHost(t, saying(text(200, "", "one"), true)), newHost(t, saying(text(200, "", "two"), true))
	d = newRegistry(t)
	p = prepare(t, d.addr, 1024, entry("s-1", one.Addr().String(), "ready"), entry("s-2", two.Addr().String(), "ready"))
	p.listener = inherit(t, p.addr)
	return p, one, two, d
}

// rewrite replaces the configuration.
func (p *program) rewrite(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never seen: %s", what)
		}
	}
}

// call writes one call as it goes over the wire.
func call(method, id, ruleSet, body string) string {
	return fmt.Sprintf("%s /api?q=1 HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nTenant: acme\r\n"+
		"Affinity-Key: k\r\nRequest-Timeout: 3.000\r\nContent-Length: %d\r\n\r\n%s", method, id, ruleSet, len(body), body)
}

// dial opens a client's connection.
func (p *program) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return c, bufio.NewReader(c)
}

// answer reads one whole answer.
func answer(t *testing.T, in *bufio.Reader) (*http.Response, string) {
	t.Helper()
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	return r, string(body)
}

// ask sends bytes on a connection of their own and reads the answer.
func (p *program) ask(t *testing.T, text string) (*http.Response, string) {
	t.Helper()
	c, in := p.dial(t)
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return answer(t, in)
}

func (p *program) counters(t *testing.T) map[string]int {
	t.Helper()
	_, body := p.ask(t, "GET /_counters HTTP/1.1\r\n\r\n")
	m := map[string]int{}
	if err := json.Unmarshal([]byte(body), &m); err != nil {
		t.Fatal(err)
	}
	return m
}

// asks sends bytes on a connection of their own and leaves the answer to be read.
func (p *program) asks(t *testing.T, text string) net.Conn {
	t.Helper()
	c, _ := p.dial(t)
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}
