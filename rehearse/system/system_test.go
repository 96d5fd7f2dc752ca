package system_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"ivybank/agent"
	"ivybank/control"
	"ivybank/rehearse/system"
	"ivybank/router"
	"ivybank/settings"
	"ivybank/wire"
)

// testFleet is a complete system on loopback: control processes, an agent and a router.
type testFleet struct {
	t        *testing.T
	platform *system.Platform
	control  []*controlProcess
	front    string
	ready    string
	seeds    []string
	tolerate int // number of control processes that may fail at the same time
	port     int
}

type controlProcess struct {
	settings *settings.Settings
	stop     context.CancelFunc
	done     chan struct{}
}

// nextPort separates the fleets of this package's tests; test processes differ in their IP addresses.
var nextPort = 21000 + os.Getpid()%150*64

func startFleet(t *testing.T, instances ...system.Instance) *testFleet {
	t.Helper()
	return startFleetOf(t, 3, instances...)
}

// startFleetOf starts a fleet with the given number of control processes, three of them seeds.
func startFleetOf(t *testing.T, controls int, instances ...system.Instance) *testFleet {
	t.Helper()
	f := &testFleet{t: t, platform: system.NewPlatform(), port: nextPort, tolerate: controls / 2}
	nextPort += 8
	t.Cleanup(f.platform.Close)
	f.platform.SetInstances(instances...)
	for i := range 3 {
		f.seeds = append(f.seeds, f.operatorAddress(i))
	}
	for i := range controls {
		f.control = append(f.control, f.startControl(i, t.TempDir(), true))
	}
	s := f.settings(ip(9), "front-1")
	s.Listen = settings.Listen{Front: ip(9) + ":" + strconv.Itoa(f.port+5), Ready: ip(9) + ":" + strconv.Itoa(f.port+6)}
	f.front, f.ready = s.Listen.Front, s.Listen.Ready
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = agent.NewProcess(s, hclog.NewNullLogger()).Run(ctx, nil) }()
	go func() { _ = router.New(s, hclog.NewNullLogger()).Run(ctx) }()
	return f
}

func ip(i int) string { return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8&63, os.Getpid()&255, i+1) }

func (f *testFleet) settings(ip, name string) *settings.Settings {
	return &settings.Settings{NodeName: name, IP: ip, PortRange: [2]int{f.port, f.port + 3}, Seeds: f.seeds,
		Tolerate: settings.Tolerate{Machines: f.tolerate}, Cloud: settings.Cloud{Address: f.platform.Address()},
		Bounds: settings.Bounds{DrainMS: 1500, GraceS: 1, QuotaWindowS: 8, QuotaOverage: 0.1, RetryRatio: 0.2,
			RetrySlack: 56}}
}

func (f *testFleet) operatorAddress(i int) string {
	return net.JoinHostPort(ip(i), strconv.Itoa(f.port+4))
}

func (f *testFleet) startControl(i int, dir string, bootstrap bool) *controlProcess {
	f.t.Helper()
	s := f.settings(ip(i), fmt.Sprint("core-", i))
	s.DataDir, s.Bootstrap = dir, bootstrap
	s.Listen.Control = f.operatorAddress(i)
	node, err := control.New(s, hclog.NewNullLogger())
	assert.NilError(f.t, err)
	ctx, stop := context.WithCancel(context.Background())
	m := &controlProcess{s, stop, make(chan struct{})}
	go func() {
		defer close(m.done)
		assert.Check(f.t, node.Run(ctx, nil))
	}()
	f.t.Cleanup(func() { m.stopAndWait() })
	return m
}

func (m *controlProcess) stopAndWait() {
	m.stop()
	<-m.done
}

// config makes a configuration with four routes (two of them streams) and two tenants.
func config(revision int) []byte {
	route := func(name, prefix, kind string, attempts int, resumable bool) map[string]any {
		return map[string]any{"name": name, "hostname": "a.example", "path_prefix": prefix, "route_type": kind,
			"timeout_ms": 2000, "target_ms": 500, "backend": "model", "max_attempts": attempts, "resumable": resumable}
	}
	body, err := json.Marshal(map[string]any{
		"revision": revision,
		"routes": []any{route("s", "/stream/", "streaming", 2, true), route("u", "/unsafe/", "unsafe", 1, false),
			route("i", "/again/", "idempotent", 2, false), route("o", "/once/stream/", "streaming", 2, false)},
		"services": []any{map[string]any{"name": "model", "max_conns": 100}},
		"limits":   map[string]any{"max_body_bytes": 1000},
		"tenants": []any{map[string]any{"name": "acme", "api_keys": []any{"key"}},
			map[string]any{"name": "small", "api_keys": []any{"small-key"}, "rate_per_s": 1, "burst": 2}},
	})
	if err != nil {
		panic(err)
	}
	return body
}

var client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// replaceConfig sends a configuration to one control process and gives the status of the answer, or 0 without one.
func (f *testFleet) replaceConfig(i, base int, body []byte) int {
	f.t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+f.seeds[i]+"/v1/Config.Replace", bytes.NewReader(body))
	assert.NilError(f.t, err)
	request.Header.Set("Base-Version", strconv.Itoa(base))
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// replaceConfigUntilDecided sends a configuration to each control process in turn until the answer is 200 or 4xx.
func (f *testFleet) replaceConfigUntilDecided(base int, body []byte) int {
	f.t.Helper()
	status := 0
	f.eventually("a decisive answer to a configuration", func() bool {
		for i := range f.seeds {
			if status = f.replaceConfig(i, base, body); status == 200 || status >= 400 && status < 500 {
				return true
			}
		}
		return false
	})
	return status
}

func (f *testFleet) status(i int) (s control.Status, ok bool) {
	response, err := client.Get("http://" + f.operatorAddress(i) + "/v1/Status")
	if err != nil {
		return s, false
	}
	defer response.Body.Close()
	return s, json.NewDecoder(response.Body).Decode(&s) == nil
}

func (f *testFleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}, poll.WithTimeout(15*time.Second), poll.WithDelay(20*time.Millisecond))
}

type reply struct {
	status   int
	header   http.Header
	body     string
	complete bool
}

var requests = 0

func (f *testFleet) request(path, key, body string) reply {
	f.t.Helper()
	requests++
	request, err := http.NewRequest(http.MethodPost, "http://"+f.front+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	request.Host = "a.example"
	request.Header.Set("Request-Id", fmt.Sprint("request-", requests))
	request.Header.Set("Deadline-Ms", "1500")
	request.Header.Set("Tenant", "forged")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{body: err.Error()}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, string(text), err == nil}
}

// waitUntilServing sends a first configuration and waits until the router is ready with it.
func (f *testFleet) waitUntilServing() {
	f.t.Helper()
	assert.Equal(f.t, f.replaceConfigUntilDecided(0, config(1)), 200)
	f.eventually("a ready router", func() bool {
		response, err := client.Get("http://" + f.ready + "/v1/ready")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == 200
	})
}

func newHost(t *testing.T, id string) (*system.Host, system.Instance) {
	h := system.NewHost(id)
	t.Cleanup(h.Close)
	return h, system.Instance{ID: id, Backend: "model", Address: h.Address(), Slots: 4, State: "ready"}
}

func TestWholePath(t *testing.T) {
	one, a := newHost(t, "one")
	two, b := newHost(t, "two")
	f := startFleet(t, a, b, system.Instance{ID: "other", Backend: "elsewhere", Address: "127.0.0.1:1", State: "ready"})
	f.waitUntilServing()

	t.Run("a ready router knows the hosts of all services", func(t *testing.T) {
		assert.Equal(t, f.request("/again/", "key", "").status, 200)
	})
	t.Run("a request is passed on unchanged and answered unchanged", func(t *testing.T) {
		got := f.request("/unsafe/x?y=%2f", "key", "the body")
		assert.Equal(t, got.status, 200)
		h := one
		if !strings.HasPrefix(got.header.Get("Response-Seal"), one.ID) {
			h = two
		}
		id := h.ExecutedRequests()[len(h.ExecutedRequests())-1]
		assert.Equal(t, got.body, "answer to "+id)
		assert.Equal(t, got.header.Get("Response-Seal"), system.ResponseSeal(h.ID, id))
		header, body := h.LastRequest()
		assert.Equal(t, body, "the body")
		assert.Equal(t, header.Get("Tenant"), "acme")
		assert.Equal(t, header.Get("Authorization"), "")
		assert.Equal(t, header.Get("Target-Instance"), h.ID)
		left, err := strconv.Atoi(header.Get("Deadline-Ms"))
		assert.NilError(t, err)
		assert.Assert(t, left > 1000 && left <= 1500, "%d ms", left)
	})
	t.Run("what the configuration doesn't allow is refused", func(t *testing.T) {
		assert.Equal(t, f.request("/nowhere/", "key", "").status, 404)
		assert.Equal(t, f.request("/unsafe/", "", "").status, 401)
		assert.Equal(t, f.request("/unsafe/", "other", "").status, 401)
		assert.Equal(t, f.request("/unsafe/", "key", strings.Repeat("x", 1001)).status, 413)
	})
	t.Run("a stream is resumed at another host after the last complete event", func(t *testing.T) {
		for range 60 { // fill the retry budget for the retries below; it is empty when a fleet starts
			assert.Equal(t, f.request("/again/", "key", "").status, 200)
		}
		one.SetBehaviour(system.TruncateStream)
		for range 4 {
			got := f.request("/stream/", "key", "")
			assert.Equal(t, got.status, 200)
			assert.Assert(t, got.complete)
			for i := 1; i <= system.StreamEvents; i++ {
				assert.Equal(t, strings.Count(got.body, fmt.Sprintf("data: event %d\n", i)), 1)
			}
		}
		one.SetBehaviour(system.Serve)
	})
	t.Run("a stream that may not run twice ends where its host breaks it off", func(t *testing.T) {
		one.SetBehaviour(system.TruncateStream)
		two.SetBehaviour(system.TruncateStream)
		got := f.request("/once/stream/", "key", "")
		assert.Assert(t, !got.complete)
		one.SetBehaviour(system.Serve)
		two.SetBehaviour(system.Serve)
	})
	t.Run("a refused request is told when to retry and never ran", func(t *testing.T) {
		one.SetBehaviour(system.RefuseUnexecuted)
		two.SetBehaviour(system.RefuseUnexecuted)
		got := f.request("/unsafe/", "key", "")
		assert.Equal(t, got.status, 503)
		assert.Assert(t, got.header.Get("Retry-After") != "")
		one.SetBehaviour(system.Serve)
		two.SetBehaviour(system.Serve)
	})
	t.Run("the answer to another request never reaches the client", func(t *testing.T) {
		one.SetBehaviour(system.AnswerOtherRequest)
		two.SetBehaviour(system.AnswerOtherRequest)
		assert.Equal(t, f.request("/unsafe/", "key", "").status, 502)
		one.SetBehaviour(system.Serve)
		two.SetBehaviour(system.Serve)
	})
	t.Run("a tenant above its limit is told when to retry", func(t *testing.T) {
		last := reply{}
		for range 8 {
			last = f.request("/unsafe/", "small-key", "")
		}
		assert.Equal(t, last.status, 429)
		assert.Assert(t, last.header.Get("Retry-After") != "")
	})
	t.Run("a draining host gets no more requests", func(t *testing.T) {
		draining := a
		draining.State = "draining"
		f.platform.SetInstances(draining, b)
		executed := func() int { return len(one.ExecutedRequests()) }
		f.eventually("the drain to be known", func() bool {
			before := executed()
			for range 8 {
				f.request("/unsafe/", "key", "")
			}
			return executed() == before
		})
	})
}

// members gives the number of members that a control process knows, or 0 while the membership is changing.
func (f *testFleet) members(i int) int {
	s, ok := f.status(i)
	if !ok || s.Changing || s.Commit != s.Entry {
		return 0
	}
	return len(s.Members)
}

func TestAllControlProcessesBecomeMembers(t *testing.T) {
	f := startFleetOf(t, 5)
	for i := range 5 {
		f.eventually("five members at each", func() bool { return f.members(i) == 5 })
	}
	assert.Equal(t, f.replaceConfigUntilDecided(0, config(1)), 200)
	f.control[1].stopAndWait() // two lose their disks at the same time
	f.control[2].stopAndWait()
	f.control[1] = f.startControl(1, t.TempDir(), false)
	f.control[2] = f.startControl(2, t.TempDir(), false)
	assert.Equal(t, f.replaceConfigUntilDecided(1, config(2)), 200)
	for i := range 5 {
		f.eventually("five members again", func() bool { return f.members(i) == 5 })
	}
}

func TestConfigurationSurvivesItsReplicas(t *testing.T) {
	h, a := newHost(t, "one")
	f := startFleet(t, a)
	f.waitUntilServing()
	assert.Equal(t, f.replaceConfigUntilDecided(0, config(1)), 200, "the same configuration again")
	assert.Equal(t, f.replaceConfigUntilDecided(0, config(2)), 412, "another configuration on the same base")
	assert.Equal(t, f.replaceConfigUntilDecided(1, config(1)), 400, "no higher revision")
	assert.Equal(t, f.replaceConfigUntilDecided(1, []byte("{")), 400)
	assert.Equal(t, f.replaceConfigUntilDecided(1, config(3)), 200)

	f.control[0].stopAndWait()
	assert.Equal(t, f.replaceConfigUntilDecided(3, config(5)), 200, "two of three are enough")
	assert.Equal(t, f.replaceConfigUntilDecided(0, config(1)), 200, "a configuration that was accepted is never refused later")

	f.control[0] = f.startControl(0, t.TempDir(), false) // with an empty disk
	f.eventually("the replica to become a member", func() bool {
		s, ok := f.status(0)
		return ok && s.Commit == s.Entry && !s.Changing && s.Revision == 5 &&
			slices.ContainsFunc(s.Members, func(m wire.Member) bool { return m.ID == s.ID })
	})
	f.control[1].stopAndWait()
	assert.Equal(t, f.replaceConfigUntilDecided(5, config(7)), 200, "the new replica counts towards the quorum")
	f.control[1] = f.startControl(1, f.control[1].settings.DataDir, false)
	assert.Equal(t, f.replaceConfigUntilDecided(7, config(9)), 200)

	for _, m := range f.control {
		m.stop()
	}
	for i, m := range f.control {
		<-m.done
		f.control[i] = f.startControl(i, m.settings.DataDir, false)
	}
	f.eventually("the configuration to be read after the restart", func() bool {
		response, err := client.Get("http://" + f.seeds[1] + "/v1/Config.Get")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		return err == nil && response.StatusCode == 200 && bytes.Equal(body, config(9))
	})
	got := f.request("/unsafe/", "key", "")
	assert.Equal(t, got.status, 200, got.body)
	assert.Assert(t, len(h.ExecutedRequests()) > 0)
}
