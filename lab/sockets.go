package lab

// This file owns the sockets mode: stand-ins for servers and discovery on loopback that speak the proxy's protocol, proxies as
// processes, and clients that ask at their time whether or not the machine keeps up. The stand-ins share the model of virtual
// time; all of it is called with the clock's lock held. It must never send anywhere but to loopback.

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
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
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ivybank/balance"
	"ivybank/emu"
)

const (
	readyWait = 10 * time.Second
	mostLate  = 25e3 // microseconds: a load generator later than this, 99 in 100, did not play the load that was asked for
	frontNet  = "127.0.0.1:0"
	hostNet   = "127.0.0.2:0"
	blankFor  = 2 * time.Second // discovery sends an empty line so often
)

// rig is one run on sockets.
type rig struct {
	e     *Experiment
	terms balance.Terms
	clock *emu.Wall
	fleet *emu.Fleet
	ctx   context.Context
	wait  sync.WaitGroup
	addrs [][]string // by proxy and server
	mu    sync.Mutex
	open  map[net.Conn]string // connections to stand-ins, with the server's id; emptied as they end
	bad   atomic.Int64        // calls that no client made
	kills atomic.Int64        // of proxies: odd while one is gone
	procs []*process
}

// process is a client proxy that can be killed and started again.
type process struct {
	cmd    []string
	env    []string
	folder string
	listen string
	mu     sync.Mutex
	now    *exec.Cmd
	out    strings.Builder
}

// start begins the process.
func (x *process) start() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.now = exec.Command(x.cmd[0], x.cmd[1:]...)
	x.now.Env, x.now.Dir, x.now.Stdout, x.now.Stderr = x.env, x.folder, &x.out, &x.out
	return x.now.Start()
}

// kill ends it and waits until it has.
func (x *process) kill() {
	x.mu.Lock()
	defer x.mu.Unlock()
	_ = x.now.Process.Signal(syscall.SIGKILL)
	_ = x.now.Wait()
}

// ready waits until it serves.
func (x *process) ready() error {
	for end := time.Now().Add(readyWait); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if a, err := http.Get("http://" + x.listen + "/_health"); err == nil {
			_ = a.Body.Close()
			if a.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	x.kill()
	return fmt.Errorf("a proxy is not ready after %s: %s", readyWait, strings.TrimSpace(x.out.String()))
}

// killAll kills the proxies one after another and starts each again.
func (r *rig) killAll() {
	r.wait.Go(func() {
		for _, x := range r.procs {
			r.kills.Add(1)
			x.kill()
			if x.start() != nil || x.ready() != nil {
				return // what follows shows it
			}
			r.kills.Add(1)
		}
	})
}

func sockets(e *Experiment, v Variant, seed uint64, p *Problems) (f *Figures, err error) {
	begun := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	clock := emu.NewWall()
	defer clock.Stop()
	r := &rig{e: e, terms: e.terms(), clock: clock, ctx: ctx, open: map[net.Conn]string{}}
	clock.Do(func() {
		r.fleet = emu.NewFleet(clock, seed, e.nature(), e.wire(), e.machines(), int64(e.Fleet.Grace))
		r.fleet.Kill = r.killAll
	})
	defer r.wait.Wait()
	defer cancel()
	fronts, err := r.begin(v, seed)
	if err != nil {
		return nil, err
	}
	f = &Figures{Seed: seed, Variant: v.Name}
	m := newMeasure(e, f)
	l, err := e.load(seed, p)
	if err != nil {
		return nil, err
	}
	defer l.close()
	clock.Do(func() { err = r.fleet.Schedule(e.faults()) })
	if err != nil {
		return nil, err
	}
	if err := r.play(l, fronts, m, f); err != nil {
		return nil, err
	}
	clock.Do(func() {
		r.fleet.Judge.Close()
		m.close(r.fleet.Judge)
	})
	if n := r.bad.Load(); n > 0 {
		f.Notes = append(f.Notes, fmt.Sprintf("%d calls at the stand-ins carried no id", n))
	}
	f.Wall, f.Problems = time.Since(begun), p.Count
	return f, nil
}

// begin starts stand-ins and proxies, and waits until all are ready.
func (r *rig) begin(v Variant, seed uint64) (fronts []string, err error) {
	for i := range r.e.Fleet.Balancers {
		var addrs []string
		for _, s := range r.fleet.Servers {
			addr, err := r.standIn(i, s)
			if err != nil {
				return nil, err
			}
			addrs = append(addrs, addr)
		}
		r.addrs = append(r.addrs, addrs)
	}
	for i := range r.e.Fleet.Balancers {
		discovery, err := r.discovery(i)
		if err != nil {
			return nil, err
		}
		front, err := r.proxy(v, seed, i, discovery)
		if err != nil {
			return nil, err
		}
		fronts = append(fronts, front)
	}
	return fronts, nil
}

// standIn listens for one proxy as one server. While the server's process is gone it does not listen.
func (r *rig) standIn(proxy int, s *emu.Server) (string, error) {
	l, err := net.Listen("tcp", hostNet)
	if err != nil {
		return "", err
	}
	addr := l.Addr().String()
	r.wait.Go(func() {
		for {
			r.accept(proxy, s, l)
			for up := false; !up; { // gone: wait for its start
				select {
				case <-r.ctx.Done():
					return
				case <-time.After(2 * time.Millisecond):
				}
				r.clock.Do(func() { up = s.Up() || s.Silent() })
			}
			if l, err = net.Listen("tcp", addr); err != nil {
				return
			}
		}
	})
	return addr, nil
}

// accept takes connections until the server's process has gone, and resets them then.
func (r *rig) accept(proxy int, s *emu.Server, l net.Listener) {
	ended := make(chan bool)
	r.wait.Go(func() {
		defer l.Close()
		for {
			select {
			case <-r.ctx.Done():
				r.reset(s.ID, proxy)
				return
			case <-ended:
				return
			case <-time.After(2 * time.Millisecond):
			}
			gone := false
			r.clock.Do(func() { gone = !s.Up() && !s.Silent() })
			if gone {
				r.reset(s.ID, proxy)
				return
			}
		}
	})
	defer close(ended)
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.open[c] = fmt.Sprint(s.ID, " ", proxy)
		r.mu.Unlock()
		r.wait.Go(func() {
			r.serve(proxy, s, c)
			r.mu.Lock()
			delete(r.open, c)
			r.mu.Unlock()
			_ = c.Close()
		})
	}
}

// reset ends all connections of a server's process.
func (r *rig) reset(id string, proxy int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, of := range r.open {
		if of == fmt.Sprint(id, " ", proxy) {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}
}

// serve answers the calls of one connection by the model.
func (r *rig) serve(proxy int, s *emu.Server, c net.Conn) {
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		sent := r.clock.Now()
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		id := q.Header.Get("Request-Id")
		if id == "" {
			r.bad.Add(1)
			return
		}
		if key := q.Header.Get(r.e.Load.Key); r.e.Load.Key != "" && key != "" {
			id = key // executions count by what the client asked for, however often it asked
		}
		outcome := make(chan balance.Outcome, 1)
		job := &emu.Job{Req: id, From: proxy, Sent: sent, Key: q.Header.Get("Affinity-Key"), Rules: r.rules(q.Header.Get("Request-Class")),
			Done: func(o balance.Outcome) { outcome <- o }}
		_, _ = fmt.Sscanf(q.Header.Get("Request-Info"), "CostGuessNs=%d", &job.Work)
		var load emu.Load
		r.clock.Do(func() {
			r.fleet.Judge.Sent(proxy, s.ID, id)
			if _, arrives := r.fleet.Way(r.e.zone(proxy), s); arrives {
				s.Offer(job)
			}
		})
		left := make(chan bool)
		r.wait.Go(func() { // the proxy gives up by closing, and sends nothing ahead
			_, _ = in.Peek(1)
			close(left)
		})
		select {
		case o := <-outcome:
			r.clock.Do(func() { load = s.Report() })
			if !r.say(c, o, id, load) {
				return
			}
			<-left
		case <-left:
			r.clock.Do(func() { s.Cancel(job) })
			return
		}
	}
}

// say writes an outcome; false where the connection ends with it.
func (r *rig) say(c net.Conn, o balance.Outcome, id string, load emu.Load) bool {
	status, more, body := "200 OK", "", id
	switch o {
	case balance.Served:
	case balance.Refused:
		status, more, body = "503 Service Unavailable", "Not-Started: 1\r\n", ""
	case balance.Errored:
		status, body = "500 Internal Server Error", ""
	default:
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sServer-Load: TEXT inflight=%d, queue=%d, util=%.2f\r\nContent-Length: %d\r\n\r\n%s", status, more,
		load.InFlight, load.Waiting, load.Util, len(body), body)
	return err == nil
}

func (r *rig) rules(name string) balance.RuleSet {
	if x := r.terms.RuleSet(name); x != nil {
		return *x
	}
	return balance.RuleSet{Name: name, Effect: balance.NonReplayable}
}

var states = map[balance.State]string{balance.Running: "ready", balance.Draining: "draining", balance.Gone: "gone"}

// line is one line of the list for a proxy.
func (r *rig) line(proxy int, reset bool, version int64, servers []balance.Server) []byte {
	type entry map[string]any
	list := []entry{}
	for _, s := range servers {
		addr := ""
		for i, x := range r.fleet.Servers {
			if x.ID == s.ID {
				addr = r.addrs[proxy][i]
			}
		}
		list = append(list, entry{"instanceId": s.ID, "hostPort": addr, "zone": s.Zone, "cell": s.Cell, "lifecycle": states[s.State],
			"weight": s.Share, "startedAtMs": float64(s.Since) / 1e6})
	}
	text, err := json.Marshal(map[string]any{"generation": version, "reset": reset, "instances": list})
	if err != nil {
		panic(err) // strings and numbers always print
	}
	return text
}

// discovery tells one proxy of the list and its changes.
func (r *rig) discovery(proxy int) (string, error) {
	l, err := net.Listen("tcp", hostNet)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		lines := make(chan []byte, 1024)
		ended := make(chan bool)
		down := false
		r.clock.Do(func() {
			if down = r.fleet.Down(); down {
				return
			}
			servers, version := r.fleet.List()
			lines <- r.line(proxy, true, version, servers)
			for _, s := range servers {
				r.fleet.Judge.Told(proxy, s.ID, s.State)
			}
			r.fleet.Watch(func(e emu.Entry) {
				select {
				case lines <- r.line(proxy, false, e.Version, []balance.Server{e.Server}):
					r.fleet.Judge.Told(proxy, e.Server.ID, e.Server.State)
				default: // a proxy that does not read is told nothing
				}
			}, func() { close(ended) })
		})
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		for {
			var line []byte
			select {
			case line = <-lines:
			case <-time.After(blankFor):
			case <-ended:
				return
			case <-q.Context().Done():
				return
			}
			if _, err := w.Write(append(line, '\n')); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	})}
	r.wait.Go(func() { _ = server.Serve(l) })
	r.wait.Go(func() { <-r.ctx.Done(); _ = server.Close() })
	return l.Addr().String(), nil
}

// configuration is what a proxy is told, as the platform would tell it.
func (r *rig) configuration(listen, discovery string, seed uint64, proxy int) ([]byte, error) {
	x := r.e
	t := r.terms
	kinds := map[balance.Effect]string{balance.Replayable: "retryable", balance.Uniqued: "dedup", balance.NonReplayable: "fragile"}
	sets, tenants := []any{}, []any{}
	for _, s := range x.RuleSets {
		group := s.Group
		if group == "" {
			group = "all"
		}
		sets = append(sets, map[string]any{"Name": s.Name, "Effect": kinds[effects[s.Effect]], "Group": group, "WindowNs": int64(s.Window),
			"ResponseTargetNs": int64(s.Target), "ClientTimeoutNs": int64(x.Load.Timeout), "BillingValue": s.Value, "OverdueBillingValue": 0.0})
	}
	for _, s := range x.Load.Tenants {
		tenants = append(tenants, map[string]any{"Name": s.Name, "Share": s.Share})
	}
	servers, version := r.fleet.List()
	return json.Marshal(map[string]any{"name": fmt.Sprint("n", proxy), "listen": listen, "discovery": discovery,
		"seed": fmt.Sprintf("%x", emu.SeedOf(seed, proxy)), "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 4096},
		"known": json.RawMessage(r.line(proxy, true, version, servers)),
		"settings": map[string]any{"FleetSize": t.Copies, "Zone": r.e.zone(proxy), "TickNs": t.Tick, "Discovery": "on_request",
			"Ceilings": map[string]any{"MaxDispatches": t.MaxDispatches, "ParallelTries": t.Parallel, "Cancel": t.CanCancel, "RetryAfter": true,
				"MaxRetryAfterNs": t.MaxAdvice, "DialTimeoutNs": int64(250e6), "ConnIdleNs": int64(60e9)},
			"Contract": map[string]any{"AskWithinNs": t.AskWithin, "StartCapacity": t.StartCapacity, "RampTimeNs": t.RampTime},
			"Prices":   map[string]any{"CrossZone": t.CrossPrice, "Waste": t.WastePrice}, "RuleSets": sets, "Tenants": tenants}})
}

// proxy starts one client proxy.
func (r *rig) proxy(v Variant, seed uint64, i int, discovery string) (string, error) {
	free, err := net.Listen("tcp", frontNet)
	if err != nil {
		return "", err
	}
	listen := free.Addr().String()
	_ = free.Close()
	folder, err := os.MkdirTemp("", "ivybank-lab")
	if err != nil {
		return "", err
	}
	text, err := r.configuration(listen, discovery, seed, i)
	if err != nil {
		return "", err
	}
	config := filepath.Join(folder, "config.json")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return "", err
	}
	build := r.e.beside(v.Build)
	if v.Build == "" {
		if build, err = os.Executable(); err != nil {
			return "", err
		}
	}
	args := []string{"serve"}
	if v.Operator != "" {
		args = append(args, "--operator", r.e.beside(v.Operator))
	}
	x := &process{cmd: append([]string{build}, args...), folder: folder, listen: listen,
		env: append(os.Environ(), "GW_CONFIG="+config, "TMPDIR="+folder, "GW_ADMIN_ADDR=", "GW_SOCKET_FD=")}
	if err := x.start(); err != nil {
		return "", err
	}
	r.procs = append(r.procs, x)
	r.wait.Go(func() {
		<-r.ctx.Done()
		x.kill()
		_ = os.RemoveAll(folder)
	})
	return listen, x.ready()
}

// play sends the load, each ask at its time. What waits for a machine that is late counts from the time at which it was due.
func (r *rig) play(l load, fronts []string, m *measure, f *Figures) error {
	client := &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: 1 << 14, DisableCompression: true}
	defer client.CloseIdleConnections()
	late := hdrhistogram.New(1, 600e6, 3)
	results := make(chan emu.Result, 1024)
	var asks sync.WaitGroup
	var gathered sync.WaitGroup
	gathered.Go(func() {
		for x := range results {
			m.add(x)
		}
	})
	start := time.Now().Add(50 * time.Millisecond)
	n := 0
	var err error
	for {
		var a emu.Ask
		var at int
		if a, at, err = l.next(); err != nil {
			break
		}
		due := start.Add(time.Duration(a.At))
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		_ = late.RecordValue(max(1, time.Since(due).Microseconds()))
		n++
		number := n
		asks.Go(func() { results <- r.ask(client, fronts[at%len(fronts)], number, a, due) })
	}
	asks.Wait()
	close(results)
	gathered.Wait()
	f.Late = float64(late.ValueAtPercentile(99)) / 1e3
	f.Unusable = unusable(f.Late)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return err
}

// unusable says why a run does not count, empty where it does.
func unusable(late float64) string {
	if late*1e3 <= mostLate {
		return ""
	}
	return fmt.Sprintf("the load came %.0f ms late (99 in 100)", late)
}

// ask is one client with its retries.
func (r *rig) ask(client *http.Transport, front string, n int, a emu.Ask, due time.Time) emu.Result {
	x := r.e.clients()
	key := ""
	if r.e.Load.Key != "" {
		key = fmt.Sprint("filing-", n)
	}
	for try := 1; ; try++ {
		got := r.try(client, front, fmt.Sprintf("%d-%d", n, try), key, a)
		again := got.kind == emu.Denied || key != "" && (got.kind == emu.Unanswered || got.open)
		if !again || try > x.Retries || key == "" && int64(time.Since(due)) >= x.Timeout {
			if key != "" {
				r.hold(key, got.kind, a)
			}
			return emu.Result{Ask: a, Kind: got.kind, Took: int64(time.Since(due)), Tries: try}
		}
		if got.back <= 0 {
			got.back = time.Duration(x.Wait)
		}
		time.Sleep(got.back)
	}
}

// hold holds what a client was told of its key against what the servers saw.
func (r *rig) hold(key string, kind emu.Kind, a emu.Ask) {
	if r.rules(a.RuleSet).Effect == balance.Replayable {
		return
	}
	r.clock.Do(func() {
		switch runs := r.fleet.Judge.Runs(key); {
		case kind == emu.Done && runs != 1:
			r.fleet.Judge.Untrue("%s was answered as done, and ran %d times", key, runs)
		case kind == emu.Denied && runs != 0:
			r.fleet.Judge.Untrue("%s was denied, and ran %d times", key, runs)
		}
	})
}

// told is what one try got.
type told struct {
	kind emu.Kind
	back time.Duration
	open bool // the first attempt is still open
}

func (r *rig) try(client *http.Transport, front, id, key string, a emu.Ask) told {
	x := r.e.clients()
	ctx, cancel := context.WithTimeout(r.ctx, time.Duration(x.Timeout)+100*time.Millisecond) // an answer that is late is seen to be
	defer cancel()
	method := http.MethodPost
	if r.rules(a.RuleSet).Effect == balance.Replayable {
		method = http.MethodGet
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+front+"/api", nil)
	if err != nil {
		return told{kind: emu.Unanswered}
	}
	q.Header = http.Header{"Request-Id": {id}, "Request-Class": {a.RuleSet}, "Tenant": {a.Tenant}, "Affinity-Key": {a.Key},
		"Request-Timeout": {fmt.Sprintf("%.3f", float64(x.Timeout)/1e9)}, "Request-Info": {fmt.Sprintf("CostGuessNs=%d", a.Work)}}
	want := id
	if key != "" {
		q.Header.Set(r.e.Load.Key, key)
		want = key
	}
	kills := r.kills.Load()
	r.clock.Do(func() { r.fleet.Judge.Taken(id, r.clock.Now()+x.Timeout+50e6) })
	answer, err := client.RoundTrip(q)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
	}
	if err != nil {
		if now := r.kills.Load(); now != kills || now%2 == 1 { // what a proxy held when it was killed is for the client to ask again
			r.clock.Do(func() { r.fleet.Judge.Left(id) })
		}
		return told{kind: emu.Unanswered}
	}
	r.clock.Do(func() {
		if answer.StatusCode == http.StatusOK && string(body) != want {
			r.fleet.Judge.Untrue("req %s got an answer that was not made for it: %q", id, body)
		}
		r.fleet.Judge.Final(id)
	})
	var s float64
	_, _ = fmt.Sscan(answer.Header.Get("Retry-After"), &s)
	back := time.Duration(s * 1e9)
	switch answer.StatusCode {
	case http.StatusOK:
		return told{kind: emu.Done}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return told{kind: emu.Denied, back: back}
	}
	return told{kind: emu.Aborted, back: back, open: answer.Header.Get("Idempotency-Outcome") == "open"}
}
