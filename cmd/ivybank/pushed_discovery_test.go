package main

import (
	"io"
	"strings"
	"testing"
)

// pushedSettings returns the settings of a deployment whose discovery pushes lists, with live weights and a tail in
// the score.
func pushedSettings(settings string) string {
	return strings.Replace(settings, `"Discovery":"on_request"`,
		`"Discovery":"pushed","Weights":"live","ScoringMix":{"Tail":0.3}`, 1)
}

// If discovery pushes lists, the proxy keeps a watch open by itself: the balancer never requests one.
func TestPushedDiscovery(t *testing.T) {
	h := newFakeHost(t, replyWith(httpResponse(200, "", "one"), true))
	d := newFakeDiscovery(t)
	p := prepareProxy(t, d.addr, 1024)
	p.writeConfig(t, pushedSettings(p.configText(t)))
	p.start(t)
	<-d.watchedFrom
	d.lines <- hostList(1, true, hostEntry("s-1", h.Addr().String(), "ready"))
	eventually(t, "the list serves", func() bool {
		_, body := p.do(t, clientRequest("GET", "x", "again", ""))
		return body == "one"
	})
	d.lines <- ""
	<-d.watchedFrom // watched again without a request
	if n := p.counters(t)["watches_lost"]; n != 1 {
		t.Errorf("%d watches lost, want 1", n)
	}
}

// Reloads switch between requested and pushed lists and back. Open requests keep their rules and get one response, a
// host taken out by an operator stays out, and list changes are received in each mode.
func TestSwitchDiscoveryMode(t *testing.T) {
	release := make(chan string)
	one := newFakeHost(t, replyOnRelease(release, httpResponse(200, "", "one")))
	two := newFakeHost(t, replyWith(httpResponse(200, "", "two"), true))
	d := newFakeDiscovery(t)
	p := startProxy(t, d.addr, 1024, hostEntry("s-1", one.Addr().String(), "ready"),
		hostEntry("s-2", two.Addr().String(), "ready"))
	<-d.watchedFrom
	if got := p.callAdminAPI(t, "PUT", "/hosts/s-2/maint"); got != 200 {
		t.Fatalf("got %d", got)
	}
	valid := p.configText(t)
	conn, in := p.dial(t)
	_, _ = io.WriteString(conn, clientRequest("POST", "slow", "once", ""))
	before := one.requestCount() + 1
	eventually(t, "the open request is at the host", func() bool { return one.requestCount() == before })
	reload := func(file string, reloads int) {
		t.Helper()
		p.reload(t, file)
		eventually(t, "the file is applied", func() bool { return p.counters(t)["reloads"] == reloads })
	}
	pushed := strings.Replace(pushedSettings(valid), `"Effect":"fragile"`, `"Effect":"retryable"`, 1)
	reload(pushed, 1)
	for range 20 {
		if _, body := p.do(t, clientRequest("GET", "x", "again", "")); body != "one" {
			t.Fatalf("got %q from a host that an operator has taken out", body)
		}
	}
	release <- httpResponse(500, "", "")
	if r, _ := readResponse(t, in); r.StatusCode != 502 {
		t.Errorf("got %d for the open request, want 502 by the rules in force when it came", r.StatusCode)
	}
	reload(strings.Replace(pushed, `"live"`, `"heavy"`, 1)+" ", 1) // rejected: the number of reloads stays at one
	eventually(t, "one warning", func() bool { return p.out.count("new configuration ignored") == 1 })
	// The way back: a file that omits what the running one names is rejected, so this one states the defaults.
	reload(strings.Replace(valid, `"Discovery":"on_request"`,
		`"Discovery":"on_request","Weights":"nominal","ScoringMix":{"Tail":0}`, 1), 2)
	if n := <-d.watchedFrom; n == "" {
		t.Error("the balancer watches from no version")
	}
	d.lines <- hostList(2, true, hostEntry("s-1", one.Addr().String(), "ready"))
	eventually(t, "the list is received", func() bool { return p.counters(t)["lines"] == 1 })
	if got := two.requestCount(); got != 0 {
		t.Errorf("%d requests at a host that an operator has taken out", got)
	}
}
