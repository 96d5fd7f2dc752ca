package main

import (
	"io"
	"strings"
	"testing"
)

// unasked is the settings of a deployment whose list comes unasked, with weights that move and a tail in its score.
func unasked(settings string) string {
	return strings.Replace(settings, `"Discovery":"on_request"`,
		`"Discovery":"pushed","Weights":"live","ScoringMix":{"Tail":0.3}`, 1)
}

// Where the list comes unasked the proxy keeps a watch up by itself: nothing in the module ever asks for one.
func TestUnasked(t *testing.T) {
	h := newHost(t, saying(text(200, "", "one"), true))
	d := newRegistry(t)
	p := prepare(t, d.addr, 1024)
	p.rewrite(t, unasked(p.text(t)))
	p.start(t)
	<-d.asked
	d.lines <- list(1, true, entry("s-1", h.Addr().String(), "ready"))
	eventually(t, "the list serves", func() bool {
		_, body := p.ask(t, call("GET", "x", "again", ""))
		return body == "one"
	})
	d.lines <- ""
	<-d.asked // again, by itself
	if n := p.counters(t)["watches_lost"]; n != 1 {
		t.Errorf("%d watches lost, want 1", n)
	}
}

// The move from one shape to the other and back, by reload: open reqs keep their rules and get their one answer, a host
// out by hand stays out, and the list is followed in each shape.
func TestMove(t *testing.T) {
	release := make(chan string)
	one := newHost(t, onRelease(release, text(200, "", "one")))
	two := newHost(t, saying(text(200, "", "two"), true))
	d := newRegistry(t)
	p := begin(t, d.addr, 1024, entry("s-1", one.Addr().String(), "ready"), entry("s-2", two.Addr().String(), "ready"))
	<-d.asked
	if got := p.operate(t, "PUT", "/hosts/s-2/maint"); got != 200 {
		t.Fatalf("got %d", got)
	}
	whole := p.text(t)
	conn, in := p.dial(t)
	_, _ = io.WriteString(conn, call("POST", "slow", "once", ""))
	before := one.seen() + 1
	eventually(t, "the open req is at the host", func() bool { return one.seen() == before })
	hup := func(file string, reloads int) {
		t.Helper()
		p.hup(t, file)
		eventually(t, "the file is taken", func() bool { return p.counters(t)["reloads"] == reloads })
	}
	moved := strings.Replace(unasked(whole), `"Effect":"fragile"`, `"Effect":"retryable"`, 1)
	hup(moved, 1)
	for range 20 {
		if _, body := p.ask(t, call("GET", "x", "again", "")); body != "one" {
			t.Fatalf("got %q from a host that is out by hand", body)
		}
	}
	release <- text(500, "", "")
	if r, _ := answer(t, in); r.StatusCode != 502 {
		t.Errorf("got %d for the open req, want 502 by the rules that it came with", r.StatusCode)
	}
	hup(strings.Replace(moved, `"live"`, `"heavy"`, 1)+" ", 1) // refused: the reloads stay at one
	eventually(t, "one warning", func() bool { return p.out.count("new configuration ignored") == 1 })
	// Back: a file that leaves out what the running one names is refused, so it names the defaults.
	hup(strings.Replace(whole, `"Discovery":"on_request"`, `"Discovery":"on_request","Weights":"nominal","ScoringMix":{"Tail":0}`, 1), 2)
	if n := <-d.asked; n == "" {
		t.Error("the module asks from no version")
	}
	d.lines <- list(2, true, entry("s-1", one.Addr().String(), "ready"))
	eventually(t, "the list is followed", func() bool { return p.counters(t)["lines"] == 1 })
	if got := two.seen(); got != 0 {
		t.Errorf("%d reqs at a host that is out by hand", got)
	}
}
