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

// binary is the path of the program as TestMain built it.
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

// testTimeout bounds every wait of a test. No verdict depends on it.
const testTimeout = 20 * time.Second

// fakeHost is a host that answers as configured and records the requests that it gets.
type fakeHost struct {
	net.Listener
	mu          sync.Mutex
	ids         []string // request IDs
	bodies      []string
	closedEarly int // connections that the proxy closed before a response
}

// newFakeHost starts a host. Reply writes the response and reports whether the connection stays open. If it is nil,
// the test calls handleConns.
func newFakeHost(t *testing.T, reply func(c net.Conn, r *http.Request) bool) *fakeHost {
	t.Helper()
	// Not 127.0.0.1: nbio would dial that, whatever address it was given.
	l, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &fakeHost{Listener: l}
	t.Cleanup(func() { _ = l.Close() })
	if reply != nil {
		h.handleConns(func(c net.Conn) { h.serve(c, reply) })
	}
	return h
}

// handleConns accepts all connections of a host and handles each in a goroutine.
func (h *fakeHost) handleConns(do func(c net.Conn)) {
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

func (h *fakeHost) serve(c net.Conn, reply func(net.Conn, *http.Request) bool) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		h.mu.Lock()
		h.ids, h.bodies = append(h.ids, r.Header.Get("Request-Id")), append(h.bodies, string(body))
		h.mu.Unlock()
		if !reply(c, r) {
			return
		}
	}
}

func (h *fakeHost) requestCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.ids)
}

// waitForClose blocks until the proxy closes the connection.
func (h *fakeHost) waitForClose(c net.Conn) {
	_, _ = c.Read(make([]byte, 1))
	h.mu.Lock()
	h.closedEarly++
	h.mu.Unlock()
}

func httpResponse(status int, more, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, more, len(body), body)
}

// replyWith returns a reply function that always writes the same response.
func replyWith(response string, keepOpen bool) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, response)
		return keepOpen
	}
}

// fakeDiscovery is a discovery service whose watches get the lines that the test sends.
type fakeDiscovery struct {
	*http.Server
	addr         string
	lines        chan string
	watchedFrom  chan string // the version from which each watch was requested
	noHeartbeats atomic.Bool // no empty lines are sent
	unavailable  atomic.Bool // requests are refused
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &fakeDiscovery{addr: l.Addr().String(), lines: make(chan string), watchedFrom: make(chan string, 64)}
	r.Server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.watchedFrom <- q.URL.Query().Get("from")
		if r.unavailable.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.(http.Flusher).Flush()
		for {
			select {
			case line := <-r.lines:
				if line == "" {
					panic(http.ErrAbortHandler) // breaks the connection
				}
				_, _ = io.WriteString(w, line+"\n")
			case <-time.After(time.Second):
				if r.noHeartbeats.Load() {
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

func hostEntry(id, addr, state string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"a","lifecycle":%q,"weight":1.0,"startedAtMs":0}`,
		id, addr, state)
}

func hostList(version int, reset bool, entries ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, version, reset, strings.Join(entries, ","))
}

const testSettings = `{"FleetSize":1,"Zone":"a","TickNs":5000000,"Discovery":"on_request","Unknown":{"New":1},
 "Ceilings":{"Cancel":true,"ConnIdleNs":60000000000,"DialTimeoutNs":250000000,"MaxDispatches":3,
  "MaxRetryAfterNs":1500000000,"RetryAfter":true,"ParallelTries":false},
 "Contract":{"AskWithinNs":2000000000,"StartCapacity":0.2,"RampTimeNs":1000000000},
 "Prices":{"CrossZone":0.02,"Waste":0.05},
 "RuleSets":[{"Name":"once","Effect":"fragile","Group":"all","ClientTimeoutNs":3000000000,"ResponseTargetNs":800000000,
   "BillingValue":1.0,"OverdueBillingValue":0.0,"WindowNs":5000000000},
  {"Name":"again","Effect":"retryable","Group":"all","ClientTimeoutNs":3000000000,"ResponseTargetNs":800000000,
   "BillingValue":1.0,"OverdueBillingValue":0.0,"WindowNs":5000000000}],
 "Tenants":[{"Name":"acme","Share":1.0,"AllowancePerS":100.0}]}`

// proxyProcess is one client proxy in a process of its own.
type proxyProcess struct {
	*exec.Cmd
	addr, configPath string
	adminAddr        string
	listener         *os.File // inherited by the process; nil: it binds the address itself
	args             []string
	out              *processOutput
}

// givenAddrs are the addresses that freeAddr has returned in this run.
var givenAddrs sync.Map

// freeAddr returns an address that is free and that no other test has got. Tests run in parallel, and a process binds
// its address only some time after it was found free.
func freeAddr(t *testing.T) string {
	t.Helper()
	for {
		// No outgoing connection uses this address, so that none takes the port before the process binds it.
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

// startProxy starts a proxy that knows the given hosts, and waits until it is ready.
func startProxy(t *testing.T, discovery string, sockets int, entries ...string) *proxyProcess {
	t.Helper()
	p := prepareProxy(t, discovery, sockets, entries...)
	p.start(t)
	return p
}

func (p *proxyProcess) start(t *testing.T) {
	t.Helper()
	p.Cmd, p.out = exec.Command(binary, p.args...), &processOutput{}
	p.Env = append(os.Environ(), "GW_CONFIG="+p.configPath, "GW_ADMIN_ADDR="+p.adminAddr,
		"TMPDIR="+filepath.Dir(p.configPath))
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
			t.Logf("the process at %s and %s ended with %v and wrote:\n%s", p.addr, p.adminAddr, err, out)
		}
	})
	eventually(t, "the process is ready", func() bool { return p.callAdminAPI(t, "GET", "/healthcheck") == 200 })
}

// processOutput is what a process has written so far.
type processOutput struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *processOutput) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

func (o *processOutput) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

func (o *processOutput) count(substring string) int { return strings.Count(o.String(), substring) }

// runToFailure runs the program to its end, for a test in which it cannot start.
func (p *proxyProcess) runToFailure(t *testing.T, env ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(binary, p.args...)
	cmd.Env = append(append(os.Environ(), "GW_CONFIG="+p.configPath, "TMPDIR="+filepath.Dir(p.configPath)), env...)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// callAdminAPI makes one call to the admin address and returns the status; 0 if nothing listens.
func (p *proxyProcess) callAdminAPI(t *testing.T, method, path string) int {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+p.adminAddr+path, nil)
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

// inheritedListener opens the listener that a process inherits from the platform.
func inheritedListener(t *testing.T, addr string) *os.File {
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

// secondProcess returns a second process of the same proxy with its own admin address. It is not started.
func (p *proxyProcess) secondProcess(t *testing.T) *proxyProcess {
	t.Helper()
	return &proxyProcess{addr: p.addr, adminAddr: freeAddr(t), configPath: p.configPath, listener: p.listener}
}

// prepareProxy is startProxy without the start.
func prepareProxy(t *testing.T, discovery string, sockets int, entries ...string) *proxyProcess {
	t.Helper()
	p := &proxyProcess{addr: freeAddr(t), adminAddr: freeAddr(t), configPath: filepath.Join(t.TempDir(), "config.json")}
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"known":%s,"settings":%s}`,
		p.addr, discovery, sockets, hostList(1, true, entries...), testSettings)
	p.writeConfig(t, text)
	return p
}

// configText returns the current configuration.
func (p *proxyProcess) configText(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(p.configPath)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// reload replaces the configuration and sends SIGHUP.
func (p *proxyProcess) reload(t *testing.T, text string) {
	t.Helper()
	p.writeConfig(t, text)
	if err := p.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}

// replyOnRelease replies as replyWith does, but answers the request with ID "slow" with what comes from release.
func replyOnRelease(release <-chan string, response string) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		sent := response
		if r.Header.Get("Request-Id") == "slow" {
			sent = <-release
		}
		_, _ = io.WriteString(c, sent)
		return true
	}
}

// twoHostsInherited returns a proxy with an inherited listener, two hosts and discovery. It is not started.
func twoHostsInherited(t *testing.T) (p *proxyProcess, one, two *fakeHost, d *fakeDiscovery) {
	t.Helper()
	one, two = newFakeHost(t, replyWith(httpResponse(200, "", "one"), true)),
		newFakeHost(t, replyWith(httpResponse(200, "", "two"), true))
	d = newFakeDiscovery(t)
	p = prepareProxy(t, d.addr, 1024, hostEntry("s-1", one.Addr().String(), "ready"),
		hostEntry("s-2", two.Addr().String(), "ready"))
	p.listener = inheritedListener(t, p.addr)
	return p, one, two, d
}

// writeConfig replaces the configuration file.
func (p *proxyProcess) writeConfig(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(p.configPath, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// clientRequest returns a request in the form in which a client sends it.
func clientRequest(method, id, ruleSet, body string) string {
	return fmt.Sprintf("%s /api?q=1 HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nTenant: acme\r\n"+
		"Affinity-Key: k\r\nRequest-Timeout: 3.000\r\nContent-Length: %d\r\n\r\n%s", method, id, ruleSet, len(body), body)
}

// dial opens a client connection.
func (p *proxyProcess) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c, bufio.NewReader(c)
}

// readResponse reads one complete response.
func readResponse(t *testing.T, in *bufio.Reader) (*http.Response, string) {
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

// do sends a request on a connection of its own and reads the response.
func (p *proxyProcess) do(t *testing.T, text string) (*http.Response, string) {
	t.Helper()
	c, in := p.dial(t)
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return readResponse(t, in)
}

func (p *proxyProcess) counters(t *testing.T) map[string]int {
	t.Helper()
	_, body := p.do(t, "GET /_counters HTTP/1.1\r\n\r\n")
	m := map[string]int{}
	if err := json.Unmarshal([]byte(body), &m); err != nil {
		t.Fatal(err)
	}
	return m
}

// send sends a request on a connection of its own and leaves the response to be read.
func (p *proxyProcess) send(t *testing.T, text string) net.Conn {
	t.Helper()
	c, _ := p.dial(t)
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}
