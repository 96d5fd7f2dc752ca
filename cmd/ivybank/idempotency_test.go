package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// startKeyedProxy starts a proxy that accepts keys for the rule set once. Each change "from -> to" is applied to its
// operator file.
func startKeyedProxy(t *testing.T, h *fakeHost, change ...string) *proxyProcess {
	t.Helper()
	p := prepareProxy(t, unreachableAddr, 4096, hostEntry("s-1", h.Addr().String(), "ready"))
	p.writeOperatorFile(t, change...)
	p.start(t)
	return p
}

func (p *proxyProcess) writeOperatorFile(t *testing.T, change ...string) {
	t.Helper()
	text := `format = "ivybank/operator/1"
[idempotency]
header = "Idempotency-Key"
folder = "FOLDER"
entries = 1000
answer_bytes = 1000000
largest_answer = 1000
waiters = 3000
longest_key = 64
retry_in = "200ms"
[[idempotency.ruleset]]
name = "once"
retain = "1m"
`
	for _, c := range change {
		from, to, _ := strings.Cut(c, " -> ")
		text = strings.Replace(text, from, to, 1)
	}
	text = strings.Replace(text, "FOLDER", filepath.Dir(p.configPath), 1)
	p.args = []string{"serve", "--operator", writeFile(t, filepath.Dir(p.configPath), "operator.toml", text)}
}

// keyedRequest returns a request with a key; each request has an ID of its own.
func keyedRequest(id, key, body string) string {
	return strings.Replace(clientRequest("POST", id, "once", body), "Host", "Idempotency-Key: "+key+"\r\nHost", 1)
}

func (h *fakeHost) executions(id string) (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, x := range h.ids {
		if x == id {
			n++
		}
	}
	return n
}

func TestIdempotencyKeys(t *testing.T) {
	release := make(chan string)
	h := newFakeHost(t, func(c net.Conn, r *http.Request) bool {
		sent := httpResponse(200, "X-Made: 1\r\n", "for "+r.Header.Get("Request-Id"))
		switch r.Header.Get("Idempotency-Key") {
		case "wait":
			sent = <-release
		case "fails":
			sent = httpResponse(500, "", "")
		case "free":
			if r.Header.Get("Request-Id") == "f1" {
				sent = httpResponse(503, "Not-Started: 1\r\n", "")
			}
		case "large":
			sent = httpResponse(200, "", strings.Repeat("x", 2000))
		case "huge":
			sent = httpResponse(200, "", strings.Repeat("x", 200000))
		}
		_, _ = io.WriteString(c, sent)
		return true
	})
	for _, store := range []string{"FOLDER", ""} {
		t.Run("store "+store, func(t *testing.T) {
			h.mu.Lock()
			h.ids = nil
			h.mu.Unlock()
			p := startKeyedProxy(t, h, "FOLDER -> "+store)
			expect := func(text string, status int, body, outcome string) {
				t.Helper()
				r, got := p.do(t, text)
				if r.StatusCode != status || body != "" && got != body ||
					!strings.HasPrefix(r.Header.Get("Idempotency-Outcome"), outcome) {
					t.Errorf("got %d, %q, %q, want %d, %q, %q", r.StatusCode, got,
						r.Header.Get("Idempotency-Outcome"), status, body, outcome)
				}
			}
			expect(keyedRequest("a1", "a", "x"), 200, "for a1", "")
			expect(keyedRequest("a2", "a", "x"), 200, "for a1", "") // the first request's response, with its headers
			if r, _ := p.do(t, keyedRequest("a3", "a", "x")); r.Header.Get("X-Made") != "1" ||
				r.Header.Get("Idempotency-Replayed") != "true" {
				t.Errorf("got %v", r.Header)
			}
			expect(keyedRequest("a4", "a", "y"), 422, "", "not taken; the key stands for another call")
			expect(strings.Replace(keyedRequest("a5", "a", "x"), "/api?q=1", "/api?q=2", 1), 422, "", "not taken")
			expect(keyedRequest("e1", "fails", ""), 502, "", "unsure")
			expect(keyedRequest("e2", "fails", ""), 409, "", "unsure")
			expect(keyedRequest("f1", "free", ""), 503, "", "")
			expect(keyedRequest("f2", "free", ""), 200, "for f2", "")
			expect(keyedRequest("l1", "large", ""), 200, strings.Repeat("x", 2000), "")
			expect(keyedRequest("l2", "large", ""), 409, "", "done; its answer was too large to keep")
			expect(keyedRequest("g1", "huge", ""), 200, strings.Repeat("x", 200000), "")
			expect(keyedRequest("g2", "huge", ""), 409, "", "done; its answer was too large to keep")
			expect(keyedRequest("k1", strings.Repeat("k", 65), ""), 400, "", "not taken; the key is too long")
			expect(keyedRequest("b1", "body", strings.Repeat("b", 70000)), 413, "", "not taken; too large")
			expect(clientRequest("POST", "n1", "once", ""), 200, "for n1", "") // without a key nothing changes
			expect(clientRequest("POST", "n2", "once", ""), 200, "for n2", "")
			for id, want := range map[string]int{"a1": 1, "a2": 0, "a3": 0, "e1": 1, "e2": 0, "l2": 0, "g1": 1,
				"g2": 0, "k1": 0, "b1": 0} {
				if got := h.executions(id); got != want {
					t.Errorf("%s was executed %d times, want %d", id, got, want)
				}
			}
			// The first client leaves. Its request goes on, and repeats get its response.
			first := p.send(t, keyedRequest("w1", "wait", ""))
			eventually(t, "it is at the host", func() bool { return h.executions("w1") == 1 })
			second := bufio.NewReader(p.send(t, keyedRequest("w2", "wait", "")))
			eventually(t, "the repeat waits", func() bool { return p.counters(t)["repeats"] >= 1 })
			_ = first.Close()
			left := p.send(t, keyedRequest("w3", "wait", ""))
			_ = left.Close()
			eventually(t, "both have left", func() bool { return p.counters(t)["withdrawn"] == 2 })
			release <- httpResponse(200, "", "once")
			if r, body := readResponse(t, second); r.StatusCode != 200 || body != "once" {
				t.Errorf("got %d %q for the waiting repeat", r.StatusCode, body)
			}
			expect(keyedRequest("w4", "wait", ""), 200, "once", "")
			if h.executions("w1") != 1 || h.executions("w2")+h.executions("w3")+h.executions("w4") != 0 {
				t.Error("it was executed more than once")
			}
		})
	}
}

// Thousands of requests may wait for one key. Each has its own client timeout, and none gets another's response.
func TestManyWaiters(t *testing.T) {
	release := make(chan bool)
	h := newFakeHost(t, func(c net.Conn, _ *http.Request) bool {
		<-release
		_, _ = io.WriteString(c, httpResponse(200, "", "once"))
		return true
	})
	p := startKeyedProxy(t, h)
	const many = 1500
	var done, open atomic.Int64
	var all sync.WaitGroup
	ask := func(i int, timeout string) {
		all.Go(func() {
			c, err := net.Dial("tcp", p.addr)
			if err != nil {
				return
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(testTimeout))
			_, _ = io.WriteString(c, strings.Replace(keyedRequest(fmt.Sprint("m", i), "m", ""), "3.000", timeout, 1))
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(r.Body)
			switch {
			case r.StatusCode == 200 && string(body) == "once":
				done.Add(1)
			case r.StatusCode == 409 && r.Header.Get("Idempotency-Outcome") == "open" && r.Header.Get("Retry-After") != "":
				open.Add(1)
			}
		})
	}
	ask(0, "20.000")
	eventually(t, "it is at the host", func() bool { return h.requestCount() == 1 })
	for i := 1; i < many; i++ {
		ask(i, map[bool]string{true: "0.100", false: "20.000"}[i%3 == 0])
	}
	eventually(t, "requests with a short timeout are answered", func() bool { return open.Load() == many/3-1+many%3 })
	eventually(t, "the other requests wait", func() bool { return p.counters(t)["repeats"] == many-1 })
	release <- true
	all.Wait()
	if want := int64(many) - open.Load(); done.Load() != want || h.requestCount() != 1 {
		t.Errorf("got %d done, want %d; %d executions", done.Load(), want, h.requestCount())
	}
}

// The proxy is killed at each step of a request with a key. After the restart it must not dispatch the request again,
// nor lose one that was answered.
func TestKeysKilled(t *testing.T) {
	reach, release := make(chan bool, 8), make(chan bool, 8)
	h := newFakeHost(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("Idempotency-Key") == "held" {
			reach <- true
			<-release
		}
		_, _ = io.WriteString(c, httpResponse(200, "", "for "+r.Header.Get("Request-Id")))
		return true
	})
	restart := func(p *proxyProcess) {
		t.Helper()
		_ = p.Process.Kill()
		_ = p.Wait()
		p.start(t)
	}
	t.Run("recorded, before it is dispatched", func(t *testing.T) {
		// The dispatch follows microseconds after the file grows. In either case the request may have been executed.
		for i := range 10 {
			p := startKeyedProxy(t, h)
			file := filepath.Join(filepath.Dir(p.configPath), "keys.ledger")
			before, _ := os.Stat(file)
			id := fmt.Sprint("r", i, "-")
			p.send(t, keyedRequest(id+"1", "k", ""))
			for end := time.Now().Add(testTimeout); time.Now().Before(end); {
				if now, err := os.Stat(file); err == nil && now.Size() > before.Size() {
					break
				}
			}
			restart(p)
			r, body := p.do(t, keyedRequest(id+"2", "k", ""))
			if n := h.executions(id + "1"); h.executions(id+"2") != 0 ||
				r.StatusCode != 409 && !(r.StatusCode == 200 && body == "for "+id+"1" && n == 1) {
				t.Fatalf("got %d %q, the first was executed %d times, the repeat %d", r.StatusCode, body,
					n, h.executions(id+"2"))
			}
		}
	})
	t.Run("dispatched, before it is answered", func(t *testing.T) {
		p := startKeyedProxy(t, h)
		p.send(t, keyedRequest("d1", "held", ""))
		<-reach
		restart(p)
		release <- true
		if r, _ := p.do(t, keyedRequest("d2", "held", "")); r.StatusCode != 409 ||
			r.Header.Get("Idempotency-Outcome") != "unsure" || h.executions("d2") != 0 {
			t.Errorf("got %d, %q, want it unsure", r.StatusCode, r.Header.Get("Idempotency-Outcome"))
		}
	})
	t.Run("answered", func(t *testing.T) {
		p := startKeyedProxy(t, h)
		for i := range 10 {
			_, _ = p.do(t, keyedRequest(fmt.Sprint("n", i), fmt.Sprint("k", i), ""))
		}
		restart(p) // the last outcomes may not have been recorded: those keys are unsure and never dispatched again
		for i := range 10 {
			r, body := p.do(t, keyedRequest(fmt.Sprint("o", i), fmt.Sprint("k", i), ""))
			if r.StatusCode != 409 && (r.StatusCode != 200 || body != fmt.Sprint("for n", i)) ||
				h.executions(fmt.Sprint("o", i)) != 0 {
				t.Errorf("key %d: got %d %q", i, r.StatusCode, body)
			}
		}
	})
	t.Run("stopped by SIGTERM", func(t *testing.T) {
		p := startKeyedProxy(t, h)
		_, _ = p.do(t, keyedRequest("t1", "k", ""))
		_ = p.Process.Signal(syscall.SIGTERM)
		if err := p.Wait(); err != nil {
			t.Fatal(err, p.out)
		}
		p.start(t)
		if r, body := p.do(t, keyedRequest("t2", "k", "")); r.StatusCode != 200 || body != "for t1" {
			t.Errorf("got %d %q, want the stored response", r.StatusCode, body)
		}
	})
}

// If the store cannot be trusted, requests are refused.
func TestKeysStoreErrors(t *testing.T) {
	h := newFakeHost(t, func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, httpResponse(200, "", "for "+r.Header.Get("Request-Id")))
		return true
	})
	refused := func(t *testing.T, p *proxyProcess, id, key string) {
		t.Helper()
		if r, _ := p.do(t, keyedRequest(id, key, "")); r.StatusCode != 503 || r.Header.Get("Retry-After") == "" ||
			h.executions(id) != 0 {
			t.Errorf("got %d, executed %d times, want a prompt 503 with Retry-After", r.StatusCode, h.executions(id))
		}
	}
	t.Run("full", func(t *testing.T) {
		p := startKeyedProxy(t, h, "entries = 1000 -> entries = 3", "retain = \"1m\" -> retain = \"1s\"")
		for i := range 3 {
			_, _ = p.do(t, keyedRequest(fmt.Sprint("f", i), fmt.Sprint("k", i), ""))
		}
		refused(t, p, "f3", "k3")
		if r, body := p.do(t, keyedRequest("f4", "k0", "")); r.StatusCode != 200 || body != "for f0" {
			t.Errorf("got %d %q for a key that is known", r.StatusCode, body)
		}
		eventually(t, "there is room again",
			func() bool { r, _ := p.do(t, keyedRequest("f5", "k5", "")); return r.StatusCode == 200 })
	})
	t.Run("two processes", func(t *testing.T) {
		p := prepareProxy(t, unreachableAddr, 1024, hostEntry("s-1", h.Addr().String(), "ready"))
		p.listener = inheritedListener(t, p.addr)
		p.writeOperatorFile(t)
		p.start(t)
		_, _ = p.do(t, keyedRequest("u1", "k", ""))
		next := p.secondProcess(t)
		next.writeOperatorFile(t)
		next.start(t)
		_ = p.Process.Signal(syscall.SIGSTOP) // from now on the new process gets all connections
		refused(t, next, "u2", "k")
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Signal(syscall.SIGTERM)
		if err := p.Wait(); err != nil {
			t.Fatal(err, p.out)
		}
		eventually(t, "the new process opens the store", func() bool {
			r, body := next.do(t, keyedRequest("u3", "k", ""))
			return r.StatusCode == 200 && body == "for u1"
		})
		if h.executions("u2")+h.executions("u3") != 0 {
			t.Error("it was executed again")
		}
	})
	damageLedger := func(t *testing.T, damage func(path string)) *proxyProcess {
		t.Helper()
		p := startKeyedProxy(t, h)
		for i := range 5 {
			_, _ = p.do(t, keyedRequest(fmt.Sprint(t.Name(), i), fmt.Sprint("k", i), ""))
		}
		_ = p.Process.Signal(syscall.SIGTERM)
		_ = p.Wait()
		damage(filepath.Join(filepath.Dir(p.configPath), "keys.ledger"))
		return p
	}
	flip := func(path string, at int) {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		text[(at+len(text))%len(text)] ^= 4
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	t.Run("a flipped bit in the middle", func(t *testing.T) {
		p := damageLedger(t, func(path string) { flip(path, 30) })
		p.start(t)
		refused(t, p, "s1", "never seen")
		if r, body := p.do(t, keyedRequest("s2", "k4", "")); r.StatusCode != 200 || body != "for "+t.Name()+"4" {
			t.Errorf("got %d %q for a key that is known", r.StatusCode, body)
		}
		if p.out.count("cannot be read") != 1 {
			t.Error("it was not logged")
		}
	})
	t.Run("a torn last record", func(t *testing.T) {
		p := damageLedger(t, func(path string) {
			info, _ := os.Stat(path)
			_ = os.Truncate(path, info.Size()-3)
		})
		p.start(t)
		// The record of the request's end is lost, that of its start is there.
		if r, _ := p.do(t, keyedRequest("v1", "k4", "")); r.StatusCode != 409 {
			t.Errorf("got %d, want it unsure", r.StatusCode)
		}
		if r, _ := p.do(t, keyedRequest("v2", "new", "")); r.StatusCode != 200 {
			t.Errorf("got %d for a new key", r.StatusCode)
		}
	})
	t.Run("a newer version", func(t *testing.T) {
		p := damageLedger(t, func(path string) {
			flip(path, 7)
			flip(path, 7)
			_ = os.WriteFile(path, []byte("IVYLEDG2"), 0o600)
		})
		out, code := p.runToFailure(t)
		if code != 2 || strings.Count(out, "\n") != 1 || !strings.Contains(out, "newer version") {
			t.Errorf("got %d, %q", code, out)
		}
	})
	t.Run("a missing folder", func(t *testing.T) {
		p := prepareProxy(t, unreachableAddr, 1024)
		p.writeOperatorFile(t, "FOLDER -> /nowhere/at/all")
		if out, code := p.runToFailure(t); code != 2 || strings.Count(out, "\n") != 1 {
			t.Errorf("got %d, %q", code, out)
		}
	})
	t.Run("listed and explained", func(t *testing.T) {
		var file string
		damageLedger(t, func(path string) { file = path })
		before, _ := os.ReadFile(file)
		out, _, code := runCommand(t, ".", "ledger", file)
		if code != 0 || !strings.Contains(out, "5 keys done") ||
			!strings.Contains(out, "a repeat gets the stored response") {
			t.Errorf("got %d, %s", code, out)
		}
		if out, _, _ := runCommand(t, ".", "ledger", "--key", "k3", file); strings.Count(out, "done: a repeat") != 1 {
			t.Errorf("got %s", out)
		}
		flip(file, 30)
		if out, _, _ := runCommand(t, ".", "ledger", file); !strings.Contains(out, "DAMAGED at byte 8") {
			t.Errorf("got %s", out)
		}
		flip(file, 30)
		if after, _ := os.ReadFile(file); string(after) != string(before) {
			t.Error("the file was altered")
		}
		if _, errs, code := runCommand(t, ".", "ledger", "idempotency_test.go"); code != 2 ||
			!strings.Contains(errs, "not a ledger") {
			t.Errorf("got %d, %q", code, errs)
		}
	})
}

// A small form of rehearse/lab/experiments/keys.toml: clients retry hard through a kill of the proxy, resets and a
// crash, and the servers' counts are judged. The variant without keys has to show that requests were executed twice.
func TestKeysLab(t *testing.T) {
	text, err := os.ReadFile("../../rehearse/lab/experiments/keys.toml")
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	operator, err := os.ReadFile("../../rehearse/lab/experiments/operator/keys-disk.toml")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(filepath.Join(folder, "operator"), 0o700); err != nil {
		t.Fatal(err)
	}
	writeFile(t, filepath.Join(folder, "operator"), "keys-disk.toml", string(operator))
	small := strings.NewReplacer("length = \"25s\"", "length = \"6s\"", "rate = 850.0", "rate = 300.0",
		"at = \"3s\"", "at = \"1s\"", "at = \"6s\"", "at = \"2s\"",
		"at = \"12s\"", "at = \"2500ms\"", "at = \"15s\"", "at = \"3s\"", "at = \"19s\"", "at = \"4500ms\"").Replace(string(text))
	rows, out := runLab(t, folder, small, "keys", 2)
	for _, row := range rows {
		broken := row["breaches_1"] != "0" || row["breaches_2"] != "0"
		if keys := row["variant"] == "on disk"; keys && broken {
			t.Errorf("with keys: rule 1 %s times, rule 2 %s times: %s", row["breaches_1"], row["breaches_2"], out)
		}
		if row["done"] == "0" {
			t.Errorf("%s: no request was done: %s", row["variant"], out)
		}
	}
}
