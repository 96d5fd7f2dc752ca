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

// keyed starts a proxy that takes keys for the rule set once; change is "from -> to" in its operator file.
func keyed(t *testing.T, h *standin, change ...string) *program {
	t.Helper()
	p := prepare(t, nowhere, 4096, entry("s-1", h.Addr().String(), "ready"))
	p.operator(t, change...)
	p.start(t)
	return p
}

func (p *program) operator(t *testing.T, change ...string) {
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
	text = strings.Replace(text, "FOLDER", filepath.Dir(p.config), 1)
	p.args = []string{"serve", "--operator", write(t, filepath.Dir(p.config), "operator.toml", text)}
}

// filing is a call with a key; each has an id of its own.
func filing(id, key, body string) string {
	return strings.Replace(call("POST", id, "once", body), "Host", "Idempotency-Key: "+key+"\r\nHost", 1)
}

func (h *standin) runs(id string) (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, x := range h.calls {
		if x == id {
			n++
		}
	}
	return n
}

func TestKeys(t *testing.T) {
	release := make(chan string)
	h := newHost(t, func(c net.Conn, r *http.Request) bool {
		said := text(200, "X-Made: 1\r\n", "for "+r.Header.Get("Request-Id"))
		switch r.Header.Get("Idempotency-Key") {
		case "wait":
			said = <-release
		case "fails":
			said = text(500, "", "")
		case "free":
			if r.Header.Get("Request-Id") == "f1" {
				said = text(503, "Not-Started: 1\r\n", "")
			}
		case "large":
			said = text(200, "", strings.Repeat("x", 2000))
		case "huge":
			said = text(200, "", strings.Repeat("x", 200000))
		}
		_, _ = io.WriteString(c, said)
		return true
	})
	for _, store := range []string{"FOLDER", ""} {
		t.Run("store "+store, func(t *testing.T) {
			h.mu.Lock()
			h.calls = nil
			h.mu.Unlock()
			p := keyed(t, h, "FOLDER -> "+store)
			expect := func(text string, status int, body, outcome string) {
				t.Helper()
				r, got := p.ask(t, text)
				if r.StatusCode != status || body != "" && got != body || !strings.HasPrefix(r.Header.Get("Idempotency-Outcome"), outcome) {
					t.Errorf("got %d, %q, %q, want %d, %q, %q", r.StatusCode, got, r.Header.Get("Idempotency-Outcome"), status, body, outcome)
				}
			}
			expect(filing("a1", "a", "x"), 200, "for a1", "")
			expect(filing("a2", "a", "x"), 200, "for a1", "") // the first attempt's, with its fields
			if r, _ := p.ask(t, filing("a3", "a", "x")); r.Header.Get("X-Made") != "1" || r.Header.Get("Idempotency-Replayed") != "true" {
				t.Errorf("got %v", r.Header)
			}
			expect(filing("a4", "a", "y"), 422, "", "not taken; the key stands for another call")
			expect(strings.Replace(filing("a5", "a", "x"), "/api?q=1", "/api?q=2", 1), 422, "", "not taken")
			expect(filing("e1", "fails", ""), 502, "", "unsure")
			expect(filing("e2", "fails", ""), 409, "", "unsure")
			expect(filing("f1", "free", ""), 503, "", "")
			expect(filing("f2", "free", ""), 200, "for f2", "")
			expect(filing("l1", "large", ""), 200, strings.Repeat("x", 2000), "")
			expect(filing("l2", "large", ""), 409, "", "done; its answer was too large to keep")
			expect(filing("g1", "huge", ""), 200, strings.Repeat("x", 200000), "")
			expect(filing("g2", "huge", ""), 409, "", "done; its answer was too large to keep")
			expect(filing("k1", strings.Repeat("k", 65), ""), 400, "", "not taken; the key is too long")
			expect(filing("b1", "body", strings.Repeat("b", 70000)), 413, "", "not taken; too large")
			expect(call("POST", "n1", "once", ""), 200, "for n1", "") // without a key all is as before
			expect(call("POST", "n2", "once", ""), 200, "for n2", "")
			for id, want := range map[string]int{"a1": 1, "a2": 0, "a3": 0, "e1": 1, "e2": 0, "l2": 0, "g1": 1, "g2": 0, "k1": 0, "b1": 0} {
				if got := h.runs(id); got != want {
					t.Errorf("%s ran %d times, want %d", id, got, want)
				}
			}
			// The first client leaves; its attempt lives on, and those that ask again get what it got.
			first := p.asks(t, filing("w1", "wait", ""))
			eventually(t, "it is at the host", func() bool { return h.runs("w1") == 1 })
			second := bufio.NewReader(p.asks(t, filing("w2", "wait", "")))
			eventually(t, "the repeat waits", func() bool { return p.counters(t)["repeats"] >= 1 })
			_ = first.Close()
			left := p.asks(t, filing("w3", "wait", ""))
			_ = left.Close()
			eventually(t, "both have left", func() bool { return p.counters(t)["withdrawn"] == 2 })
			release <- text(200, "", "once")
			if r, body := answer(t, second); r.StatusCode != 200 || body != "once" {
				t.Errorf("got %d %q for the one that waited", r.StatusCode, body)
			}
			expect(filing("w4", "wait", ""), 200, "once", "")
			if h.runs("w1") != 1 || h.runs("w2")+h.runs("w3")+h.runs("w4") != 0 {
				t.Error("it ran more than once")
			}
		})
	}
}

// Thousands may wait for one key; each has its own client timeout, and none takes another's answer away.
func TestManyWait(t *testing.T) {
	release := make(chan bool)
	h := newHost(t, func(c net.Conn, _ *http.Request) bool {
		<-release
		_, _ = io.WriteString(c, text(200, "", "once"))
		return true
	})
	p := keyed(t, h)
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
			_ = c.SetDeadline(time.Now().Add(patience))
			_, _ = io.WriteString(c, strings.Replace(filing(fmt.Sprint("m", i), "m", ""), "3.000", timeout, 1))
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
	eventually(t, "it is at the host", func() bool { return h.seen() == 1 })
	for i := 1; i < many; i++ {
		ask(i, map[bool]string{true: "0.100", false: "20.000"}[i%3 == 0])
	}
	eventually(t, "the impatient are told", func() bool { return open.Load() == many/3-1+many%3 })
	eventually(t, "the others wait", func() bool { return p.counters(t)["repeats"] == many-1 })
	release <- true
	all.Wait()
	if want := int64(many) - open.Load(); done.Load() != want || h.seen() != 1 {
		t.Errorf("got %d done, want %d; %d executions", done.Load(), want, h.seen())
	}
}

// Killed at each step, the proxy that starts over what is left never runs a filing again, nor loses one that was answered.
func TestKeysKilled(t *testing.T) {
	reach, release := make(chan bool, 8), make(chan bool, 8)
	h := newHost(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("Idempotency-Key") == "held" {
			reach <- true
			<-release
		}
		_, _ = io.WriteString(c, text(200, "", "for "+r.Header.Get("Request-Id")))
		return true
	})
	again := func(p *program) {
		t.Helper()
		_ = p.Process.Kill()
		_ = p.Wait()
		p.start(t)
	}
	t.Run("recorded, before it is dispatched", func(t *testing.T) {
		for i := range 10 { // the file grows, and then it is a matter of microseconds; either way it may have run
			p := keyed(t, h)
			file := filepath.Join(filepath.Dir(p.config), "keys.ledger")
			before, _ := os.Stat(file)
			id := fmt.Sprint("r", i, "-")
			p.asks(t, filing(id+"1", "k", ""))
			for end := time.Now().Add(patience); time.Now().Before(end); {
				if now, err := os.Stat(file); err == nil && now.Size() > before.Size() {
					break
				}
			}
			again(p)
			r, body := p.ask(t, filing(id+"2", "k", ""))
			if n := h.runs(id + "1"); h.runs(id+"2") != 0 || r.StatusCode != 409 && !(r.StatusCode == 200 && body == "for "+id+"1" && n == 1) {
				t.Fatalf("got %d %q, the first ran %d times, the repeat %d", r.StatusCode, body, n, h.runs(id+"2"))
			}
		}
	})
	t.Run("dispatched, before it is answered", func(t *testing.T) {
		p := keyed(t, h)
		p.asks(t, filing("d1", "held", ""))
		<-reach
		again(p)
		release <- true
		if r, _ := p.ask(t, filing("d2", "held", "")); r.StatusCode != 409 || r.Header.Get("Idempotency-Outcome") != "unsure" || h.runs("d2") != 0 {
			t.Errorf("got %d, %q, want it unsure", r.StatusCode, r.Header.Get("Idempotency-Outcome"))
		}
	})
	t.Run("answered", func(t *testing.T) {
		p := keyed(t, h)
		for i := range 10 {
			_, _ = p.ask(t, filing(fmt.Sprint("n", i), fmt.Sprint("k", i), ""))
		}
		again(p) // the last outcomes may not be recorded yet: those are unsure, never dispatched again
		for i := range 10 {
			r, body := p.ask(t, filing(fmt.Sprint("o", i), fmt.Sprint("k", i), ""))
			if r.StatusCode != 409 && (r.StatusCode != 200 || body != fmt.Sprint("for n", i)) || h.runs(fmt.Sprint("o", i)) != 0 {
				t.Errorf("key %d: got %d %q", i, r.StatusCode, body)
			}
		}
	})
	t.Run("ended well", func(t *testing.T) {
		p := keyed(t, h)
		_, _ = p.ask(t, filing("t1", "k", ""))
		_ = p.Process.Signal(syscall.SIGTERM)
		if err := p.Wait(); err != nil {
			t.Fatal(err, p.out)
		}
		p.start(t)
		if r, body := p.ask(t, filing("t2", "k", "")); r.StatusCode != 200 || body != "for t1" {
			t.Errorf("got %d %q, want the answer kept", r.StatusCode, body)
		}
	})
}

// The store is refused rather than trusted where it cannot be.
func TestKeysStore(t *testing.T) {
	h := newHost(t, func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, text(200, "", "for "+r.Header.Get("Request-Id")))
		return true
	})
	refused := func(t *testing.T, p *program, id, key string) {
		t.Helper()
		if r, _ := p.ask(t, filing(id, key, "")); r.StatusCode != 503 || r.Header.Get("Retry-After") == "" || h.runs(id) != 0 {
			t.Errorf("got %d, ran %d times, want a prompt 503 that says when to return", r.StatusCode, h.runs(id))
		}
	}
	t.Run("full", func(t *testing.T) {
		p := keyed(t, h, "entries = 1000 -> entries = 3", "retain = \"1m\" -> retain = \"1s\"")
		for i := range 3 {
			_, _ = p.ask(t, filing(fmt.Sprint("f", i), fmt.Sprint("k", i), ""))
		}
		refused(t, p, "f3", "k3")
		if r, body := p.ask(t, filing("f4", "k0", "")); r.StatusCode != 200 || body != "for f0" {
			t.Errorf("got %d %q for a key that is known", r.StatusCode, body)
		}
		eventually(t, "there is room again", func() bool { r, _ := p.ask(t, filing("f5", "k5", "")); return r.StatusCode == 200 })
	})
	t.Run("two processes", func(t *testing.T) {
		p := prepare(t, nowhere, 1024, entry("s-1", h.Addr().String(), "ready"))
		p.listener = inherit(t, p.addr)
		p.operator(t)
		p.start(t)
		_, _ = p.ask(t, filing("u1", "k", ""))
		next := p.beside(t)
		next.operator(t)
		next.start(t)
		_ = p.Process.Signal(syscall.SIGSTOP) // all connections go to the new one now
		refused(t, next, "u2", "k")
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Signal(syscall.SIGTERM)
		if err := p.Wait(); err != nil {
			t.Fatal(err, p.out)
		}
		eventually(t, "the store is taken over", func() bool {
			r, body := next.ask(t, filing("u3", "k", ""))
			return r.StatusCode == 200 && body == "for u1"
		})
		if h.runs("u2")+h.runs("u3") != 0 {
			t.Error("it ran again")
		}
	})
	spoil := func(t *testing.T, change func(path string)) *program {
		t.Helper()
		p := keyed(t, h)
		for i := range 5 {
			_, _ = p.ask(t, filing(fmt.Sprint(t.Name(), i), fmt.Sprint("k", i), ""))
		}
		_ = p.Process.Signal(syscall.SIGTERM)
		_ = p.Wait()
		change(filepath.Join(filepath.Dir(p.config), "keys.ledger"))
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
		p := spoil(t, func(path string) { flip(path, 30) })
		p.start(t)
		refused(t, p, "s1", "never seen")
		if r, body := p.ask(t, filing("s2", "k4", "")); r.StatusCode != 200 || body != "for "+t.Name()+"4" {
			t.Errorf("got %d %q for a key that is known", r.StatusCode, body)
		}
		if p.out.count("cannot be read") != 1 {
			t.Error("it was not told of")
		}
	})
	t.Run("a torn last record", func(t *testing.T) {
		p := spoil(t, func(path string) {
			info, _ := os.Stat(path)
			_ = os.Truncate(path, info.Size()-3)
		})
		p.start(t)
		if r, _ := p.ask(t, filing("v1", "k4", "")); r.StatusCode != 409 { // its end is gone, its beginning is there
			t.Errorf("got %d, want it unsure", r.StatusCode)
		}
		if r, _ := p.ask(t, filing("v2", "new", "")); r.StatusCode != 200 {
			t.Errorf("got %d for a new key", r.StatusCode)
		}
	})
	t.Run("a newer version", func(t *testing.T) {
		p := spoil(t, func(path string) { flip(path, 7); flip(path, 7); _ = os.WriteFile(path, []byte("IVYLEDG2"), 0o600) })
		out, code := p.fails(t)
		if code != 2 || strings.Count(out, "\n") != 1 || !strings.Contains(out, "newer version") {
			t.Errorf("got %d, %q", code, out)
		}
	})
	t.Run("a folder that is gone", func(t *testing.T) {
		p := prepare(t, nowhere, 1024)
		p.operator(t, "FOLDER -> /nowhere/at/all")
		if out, code := p.fails(t); code != 2 || strings.Count(out, "\n") != 1 {
			t.Errorf("got %d, %q", code, out)
		}
	})
	t.Run("listed and explained", func(t *testing.T) {
		var file string
		spoil(t, func(path string) { file = path })
		before, _ := os.ReadFile(file)
		out, _, code := ivybank(t, ".", "ledger", file)
		if code != 0 || !strings.Contains(out, "5 keys done") || !strings.Contains(out, "a repeat gets its answer") {
			t.Errorf("got %d, %s", code, out)
		}
		if out, _, _ := ivybank(t, ".", "ledger", "--key", "k3", file); strings.Count(out, "done: a repeat") != 1 {
			t.Errorf("got %s", out)
		}
		flip(file, 30)
		if out, _, _ := ivybank(t, ".", "ledger", file); !strings.Contains(out, "DAMAGED at byte 8") {
			t.Errorf("got %s", out)
		}
		flip(file, 30)
		if after, _ := os.ReadFile(file); string(after) != string(before) {
			t.Error("the file was altered")
		}
		if _, errs, code := ivybank(t, ".", "ledger", "keys_test.go"); code != 2 || !strings.Contains(errs, "not a ledger") {
			t.Errorf("got %d, %q", code, errs)
		}
	})
}

// A small form of rehearse/lab/experiments/keys.toml: clients that retry hard through a kill of the proxy, resets and a crash, judged by the
// servers' counts; and the same without keys, where they have to show that filings ran twice.
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
	write(t, filepath.Join(folder, "operator"), "keys-disk.toml", string(operator))
	small := strings.NewReplacer("length = \"25s\"", "length = \"6s\"", "rate = 850.0", "rate = 300.0", "at = \"3s\"", "at = \"1s\"", "at = \"6s\"", "at = \"2s\"",
		"at = \"12s\"", "at = \"2500ms\"", "at = \"15s\"", "at = \"3s\"", "at = \"19s\"", "at = \"4500ms\"").Replace(string(text))
	rows, out := rehearsed(t, folder, small, "keys", 2)
	for _, row := range rows {
		broken := row["breaches_1"] != "0" || row["breaches_2"] != "0"
		if keys := row["variant"] == "on disk"; keys && broken {
			t.Errorf("with keys: rule 1 %s times, rule 2 %s times: %s", row["breaches_1"], row["breaches_2"], out)
		}
		if row["done"] == "0" {
			t.Errorf("%s: nothing was done: %s", row["variant"], out)
		}
	}
}
