package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historySpan is for how long watches may be taken up again.
const historySpan = 20 * time.Second

// applicationCall is one attempt at a call on locks, numbers or keys, as it goes out.
type applicationCall struct {
	verb    string // Locks.Begin and so on
	name    string
	address string
	after   uint64 // of a watch
	sent    time.Time
	body    struct {
		Holder     string  `json:"holder"`
		Fence      uint64  `json:"fence"`
		HoldMS     int64   `json:"hold_ms"`
		Value      string  `json:"value"`
		IfRevision *uint64 `json:"if_revision"`
	}
	// What was known when it was sent: the highest fence that another holder had, the highest number, the newest revision
	// of the key, for a watch of the group.
	lowerBound uint64
}

func (c *applicationCall) hold() time.Duration {
	return time.Duration(c.body.HoldMS) * time.Millisecond
}

// applicationAnswer is any answer.
type applicationAnswer struct {
	Fence  uint64           `json:"fence"`
	Value  json.RawMessage  `json:"value"` // a number, or a key's text
	Rev    uint64           `json:"rev"`
	Events []applicationPut `json:"events"`
}

type applicationPut struct {
	Name  string `json:"name"`
	Value string `json:"value"`
	Rev   uint64 `json:"rev"`
}

// holding is what one holder counts on.
type holding struct {
	fence    uint64
	until    time.Time
	released bool // given back
}

func (h *holding) isValid(now time.Time) bool { return !h.released && now.Before(h.until) }

// lockHistory is what is known of one lock.
type lockHistory struct {
	holdings map[string]*holding // by holder, the newest
	fences   map[uint64]string   // who got each
	highest  map[string]uint64   // by holder
}

// putHistory is what is known of one put.
type putHistory struct {
	lowerBound uint64 // newest revision of the group that was known when it was first sent
	ifRevision *uint64
	revision   uint64 // 0 as long as it isn't known
	rejected   bool
	shown      bool
}

// groupHistory is what is known of one group of keys.
type groupHistory struct {
	newest     uint64
	byRevision map[uint64]applicationPut
	newestOf   map[string]uint64                 // by key
	puts       map[string]map[string]*putHistory // by key and value
	spans      []watchSpan
	mismatches []applicationPut // keys and the revisions that a 412 named
}

// watchSpan is one answer to a watch.
type watchSpan struct {
	after, upTo uint64
	revisions   []uint64
}

// witness carries the calls of applications, and holds all that is sent and answered against the rules. It is safe for
// concurrent use.
type checker struct {
	transport http.RoundTripper

	mu         sync.Mutex
	locks      map[string]*lockHistory
	numbers    map[string]uint64
	issued     map[string]map[uint64]bool // numbers
	groups     map[string]*groupHistory
	violations []string
	counts     map[string]int // by verb and status; status 0 is no answer
	triggers   []*trigger
}

// trap does something once, at the next call that it waits for.
type trigger struct {
	answered bool // at a 200; otherwise at the sending
	verbs    []string
	fire     func()
}

func newChecker() *checker {
	return &checker{transport: &http.Transport{MaxIdleConnsPerHost: 16}, locks: map[string]*lockHistory{}, numbers: map[string]uint64{},
		issued: map[string]map[uint64]bool{}, groups: map[string]*groupHistory{}, counts: map[string]int{}}
}

func (w *checker) addViolation(rule, format string, args ...any) {
	w.violations = append(w.violations, rule+": "+fmt.Sprintf(format, args...)+" at "+time.Now().Format("15:04:05.000"))
}

// set lays a trap.
func (w *checker) addTrigger(t *trigger) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.triggers = append(w.triggers, t)
}

// lift takes a trap away that has not sprung, and reports false where it has.
func (w *checker) removeTrigger(t *trigger) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := slices.Index(w.triggers, t)
	if at < 0 {
		return false
	}
	w.triggers = slices.Delete(w.triggers, at, at+1)
	return true
}

// springTraps takes the traps that wait for a call. The caller holds w.mu.
func (w *checker) fireTriggers(c *applicationCall, answered bool) {
	w.triggers = slices.DeleteFunc(w.triggers, func(t *trigger) bool {
		if t.answered != answered || !slices.Contains(t.verbs, c.verb) {
			return false
		}
		go t.fire()
		return true
	})
}

// RoundTrip implements http.RoundTripper.
func (w *checker) RoundTrip(q *http.Request) (*http.Response, error) {
	c := readCall(q)
	w.send(c)
	response, err := w.transport.RoundTrip(q)
	if err != nil {
		w.count(c, 0)
		return nil, err
	}
	text, err := io.ReadAll(response.Body)
	response.Body.Close()
	if err != nil {
		w.count(c, 0)
		return nil, err
	}
	response.Body = io.NopCloser(bytes.NewReader(text))
	w.count(c, response.StatusCode)
	w.checkAnswer(c, response.StatusCode, text)
	return response, nil
}

// readCall reads a call that is about to go out.
func readCall(q *http.Request) *applicationCall {
	verb, name, _ := strings.Cut(strings.TrimPrefix(q.URL.Path, "/v1/"), "/")
	c := &applicationCall{verb: verb, name: name, address: q.URL.Host, sent: time.Now()}
	c.after, _ = strconv.ParseUint(q.URL.Query().Get("after"), 10, 64) // 0 where it is no watch
	if q.GetBody != nil {
		if body, err := q.GetBody(); err == nil {
			_ = json.NewDecoder(body).Decode(&c.body)
		}
	}
	return c
}

func (w *checker) count(c *applicationCall, status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[fmt.Sprint(c.verb, " ", status)]++
}

// send notes what was known before a call.
func (w *checker) send(c *applicationCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch c.verb {
	case "Locks.Begin":
		for holder, fence := range w.lock(c.name).highest {
			if holder != c.body.Holder {
				c.lowerBound = max(c.lowerBound, fence)
			}
		}
	case "Locks.Finish":
		if h := w.lock(c.name).holdings[c.body.Holder]; h != nil && h.fence == c.body.Fence {
			h.released = true
		}
	case "numbers":
		c.lowerBound = w.numbers[c.name]
	case "Cells.Replace":
		w.sendPut(c)
	case "Cells.Get":
		c.lowerBound = w.group(c.name).newestOf[c.name]
	case "watch":
		c.lowerBound = w.group(c.name).newest
	}
	w.fireTriggers(c, false)
}

func (w *checker) sendPut(c *applicationCall) {
	g := w.group(c.name)
	c.lowerBound = g.newestOf[c.name]
	if g.puts[c.name] == nil {
		g.puts[c.name] = map[string]*putHistory{}
	}
	if g.puts[c.name][c.body.Value] == nil {
		g.puts[c.name][c.body.Value] = &putHistory{lowerBound: g.newest, ifRevision: c.body.IfRevision}
	}
}

func (w *checker) lock(name string) *lockHistory {
	if w.locks[name] == nil {
		w.locks[name] = &lockHistory{map[string]*holding{}, map[uint64]string{}, map[string]uint64{}}
	}
	return w.locks[name]
}

// group gives that of a key or of a group.
func (w *checker) group(key string) *groupHistory {
	name, _, _ := strings.Cut(key, ".")
	if w.groups[name] == nil {
		w.groups[name] = &groupHistory{byRevision: map[uint64]applicationPut{}, newestOf: map[string]uint64{},
			puts: map[string]map[string]*putHistory{}}
	}
	return w.groups[name]
}

// take holds an answer against the rules.
func (w *checker) checkAnswer(c *applicationCall, status int, text []byte) {
	var a applicationAnswer
	if err := json.Unmarshal(text, &a); err != nil && status == http.StatusOK {
		a = applicationAnswer{}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case status == http.StatusOK:
		w.checkSuccess(c, &a)
		w.fireTriggers(c, true)
	case status == http.StatusConflict && c.verb == "Locks.Heartbeat":
		w.checkDeniedRenewal(c)
	case status == http.StatusPreconditionFailed:
		w.checkRejectedPut(c, a.Rev)
	case status == http.StatusNotFound && c.verb == "Cells.Get":
		w.checkRead(c, "", 0)
	case status == http.StatusGone:
		w.addViolation("LOST", "watch of %s after %d is no longer kept", c.name, c.after)
	case status == http.StatusBadRequest || status == http.StatusNotFound:
		w.addViolation("CALL", "%s %s answered %d", c.verb, c.name, status)
	}
}

func (w *checker) checkSuccess(c *applicationCall, a *applicationAnswer) {
	switch c.verb {
	case "Locks.Begin":
		w.checkGrant(c, a.Fence)
	case "Locks.Heartbeat":
		w.checkRenewal(c)
	case "numbers":
		w.checkNumber(c, a.Value)
	case "Cells.Replace":
		w.checkPut(c, a.Rev)
	case "Cells.Get":
		var value string
		_ = json.Unmarshal(a.Value, &value)
		w.checkRead(c, value, a.Rev)
	case "watch":
		w.checkWatch(c, a)
	}
}

func (w *checker) checkGrant(c *applicationCall, fence uint64) {
	l, now := w.lock(c.name), time.Now()
	holder := c.body.Holder
	if fence <= c.lowerBound {
		w.addViolation("ONE", "lock %s: %s got fence %d, another had %d before", c.name, holder, fence, c.lowerBound)
	}
	if owner, known := l.fences[fence]; known && owner != holder {
		w.addViolation("ONE", "lock %s: fence %d went to %s and %s", c.name, fence, owner, holder)
	}
	if fence < l.highest[holder] {
		w.addViolation("ONE", "lock %s: %s got fence %d after %d", c.name, holder, fence, l.highest[holder])
	}
	l.fences[fence] = holder
	l.highest[holder] = max(l.highest[holder], fence)
	until := c.sent.Add(c.hold())
	l.holdings[holder] = &holding{fence: fence, until: until}
	w.checkSingleHolder(c, now)
}

// checkOne looks for two that count themselves holder of one lock.
func (w *checker) checkSingleHolder(c *applicationCall, now time.Time) {
	for other, h := range w.lock(c.name).holdings {
		mine := w.lock(c.name).holdings[c.body.Holder]
		if other != c.body.Holder && h.isValid(now) && mine.isValid(now) {
			w.addViolation("ONE", "lock %s: %s holds it with fence %d and %s with %d, for %v more", c.name, c.body.Holder, mine.fence, other, h.fence,
				h.until.Sub(now))
		}
	}
}

func (w *checker) checkRenewal(c *applicationCall) {
	h, now := w.lock(c.name).holdings[c.body.Holder], time.Now()
	if h == nil || h.fence != c.body.Fence || !h.isValid(now) {
		return // it came too late
	}
	if until := c.sent.Add(c.hold()); until.After(h.until) {
		h.until = until
	}
	w.checkSingleHolder(c, now)
}

// takeLost notes a lock that its holder still counts on, and that is denied.
func (w *checker) checkDeniedRenewal(c *applicationCall) {
	if h := w.lock(c.name).holdings[c.body.Holder]; h != nil && h.fence == c.body.Fence && h.isValid(time.Now()) {
		w.addViolation("HOLD", "lock %s: %s is denied fence %d %v before its time is over", c.name, c.body.Holder, h.fence, time.Until(h.until))
		h.released = true
	}
}

func (w *checker) checkNumber(c *applicationCall, text json.RawMessage) {
	var number uint64
	_ = json.Unmarshal(text, &number) // 0 breaks the rule
	if number <= c.lowerBound {
		w.addViolation("ORDER", "number %s: %d after %d", c.name, number, c.lowerBound)
	}
	if w.issued[c.name] == nil {
		w.issued[c.name] = map[uint64]bool{}
	}
	if w.issued[c.name][number] {
		w.addViolation("ORDER", "number %s: %d twice", c.name, number)
	}
	w.issued[c.name][number] = true
	w.numbers[c.name] = max(w.numbers[c.name], number)
}

// show notes that a key had a value at a revision.
func (w *checker) recordValue(put applicationPut) {
	g := w.group(put.Name)
	if known, ok := g.byRevision[put.Rev]; ok && known != put {
		w.addViolation("ORDER", "revision %d is of %v and of %v", put.Rev, known, put)
	}
	g.byRevision[put.Rev] = put
	g.newest = max(g.newest, put.Rev)
	g.newestOf[put.Name] = max(g.newestOf[put.Name], put.Rev)
	sent := g.puts[put.Name][put.Value]
	if sent == nil {
		w.addViolation("MIXED", "%v was never put", put)
		return
	}
	if sent.revision != 0 && sent.revision != put.Rev {
		w.addViolation("MIXED", "%v was shown at revision %d before", put, sent.revision)
	}
	if sent.rejected {
		w.addViolation("REFUSED", "%v was rejected", put)
	}
	if put.Rev <= sent.lowerBound {
		w.addViolation("ORDER", "%v got its revision after %d", put, sent.lowerBound)
	}
	sent.revision, sent.shown = put.Rev, true
}

func (w *checker) checkPut(c *applicationCall, revision uint64) {
	w.recordValue(applicationPut{c.name, c.body.Value, revision})
}

func (w *checker) checkRejectedPut(c *applicationCall, revision uint64) {
	g := w.group(c.name)
	put := g.puts[c.name][c.body.Value]
	if put.revision != 0 {
		w.addViolation("REFUSED", "%s=%s is rejected, and was shown at revision %d", c.name, c.body.Value, put.revision)
	}
	if revision < c.lowerBound {
		w.addViolation("STALE", "%s is rejected at revision %d after %d", c.name, revision, c.lowerBound)
	}
	put.rejected = true
	if revision != 0 {
		g.mismatches = append(g.mismatches, applicationPut{Name: c.name, Rev: revision})
	}
}

func (w *checker) checkRead(c *applicationCall, value string, revision uint64) {
	if revision < c.lowerBound {
		w.addViolation("STALE", "%s is read at revision %d after %d", c.name, revision, c.lowerBound)
	}
	if revision != 0 {
		w.recordValue(applicationPut{c.name, value, revision})
	}
}

func (w *checker) checkWatch(c *applicationCall, a *applicationAnswer) {
	span := watchSpan{after: c.after, upTo: a.Rev}
	last := c.after
	for _, put := range a.Events {
		if put.Rev <= last || put.Rev > a.Rev {
			w.addViolation("ORDER", "watch of %s after %d up to %d tells %d after %d", c.name, c.after, a.Rev, put.Rev, last)
		}
		last = put.Rev
		span.revisions = append(span.revisions, put.Rev)
		w.recordValue(put)
	}
	if c.after == 0 {
		if a.Rev < c.lowerBound {
			w.addViolation("STALE", "watch of %s begins at %d after %d", c.name, a.Rev, c.lowerBound)
		}
		return
	}
	g := w.group(c.name)
	g.spans = append(g.spans, span)
}

// finish looks at what can be judged once all is known.
func (w *checker) finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, g := range w.groups {
		w.checkSpans(name, g)
		w.checkConditions(g)
		for _, m := range g.mismatches {
			if g.byRevision[m.Rev].Name != m.Name {
				w.addViolation("MIXED", "a put of %s was rejected for revision %d, which is of %v", m.Name, m.Rev, g.byRevision[m.Rev])
			}
		}
	}
}

// checkSpans looks for puts that a watch has skipped.
func (w *checker) checkSpans(name string, g *groupHistory) {
	for _, span := range g.spans {
		at := 0
		for revision := span.after + 1; revision <= span.upTo; revision++ {
			if at < len(span.revisions) && span.revisions[at] == revision {
				at++
				continue
			}
			if put, known := g.byRevision[revision]; known {
				w.addViolation("ORDER", "a watch of %s after %d up to %d skipped %v", name, span.after, span.upTo, put)
			}
		}
	}
}

// checkConditions looks for puts that took effect over a later revision than they named.
func (w *checker) checkConditions(g *groupHistory) {
	before := map[string]uint64{}
	for revision := uint64(1); revision <= g.newest; revision++ {
		put, known := g.byRevision[revision]
		if !known {
			continue
		}
		sent := g.puts[put.Name][put.Value]
		if sent != nil && sent.ifRevision != nil && before[put.Name] != *sent.ifRevision {
			w.addViolation("ORDER", "%v was to follow revision %d, and followed %d", put, *sent.ifRevision, before[put.Name])
		}
		before[put.Name] = revision
	}
}

// outcome gives what was counted and what was wrong.
func (w *checker) outcome() (map[string]int, []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts, w.violations
}
