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

// historySpan is the time for which the fleet keeps the history that a watch needs to resume.
const historySpan = 20 * time.Second

// applicationCall is one attempt at a call on locks, numbers or keys, as it is sent.
type applicationCall struct {
	verb    string // for example Locks.Begin
	name    string
	address string
	after   uint64 // revision after which a watch starts
	sent    time.Time
	body    struct {
		Holder     string  `json:"holder"`
		Fence      uint64  `json:"fence"`
		HoldMS     int64   `json:"hold_ms"`
		Value      string  `json:"value"`
		IfRevision *uint64 `json:"if_revision"`
	}
	// lowerBound is what was known when the call was sent: the highest fence that another holder had, the highest
	// number, or the newest revision of the key (for a watch: of the group).
	lowerBound uint64
}

func (c *applicationCall) hold() time.Duration {
	return time.Duration(c.body.HoldMS) * time.Millisecond
}

// applicationAnswer holds the fields of all answers.
type applicationAnswer struct {
	Fence  uint64           `json:"fence"`
	Value  json.RawMessage  `json:"value"` // a number, or the value of a key
	Rev    uint64           `json:"rev"`
	Events []applicationPut `json:"events"`
}

type applicationPut struct {
	Name  string `json:"name"`
	Value string `json:"value"`
	Rev   uint64 `json:"rev"`
}

// holding is a lock that a holder believes it holds until a given time.
type holding struct {
	fence    uint64
	until    time.Time
	released bool // the holder has sent Finish
}

func (h *holding) isValid(now time.Time) bool { return !h.released && now.Before(h.until) }

// lockHistory holds what is known about one lock.
type lockHistory struct {
	holdings map[string]*holding // the newest of each holder
	fences   map[uint64]string   // holder by fence
	highest  map[string]uint64   // fence by holder
}

// putHistory holds what is known about one put.
type putHistory struct {
	lowerBound uint64 // newest revision of the group that was known when it was first sent
	ifRevision *uint64
	revision   uint64 // 0 until it is known
	rejected   bool
	observed   bool
}

// groupHistory holds what is known about one group of keys.
type groupHistory struct {
	newest       uint64
	byRevision   map[uint64]applicationPut
	newestOf     map[string]uint64                 // revision by key
	puts         map[string]map[string]*putHistory // by key and value
	watchAnswers []watchAnswer
	mismatches   []applicationPut // keys and the revisions that a 412 named
}

// watchAnswer is one answer to a watch: the revisions that it named between after and upTo.
type watchAnswer struct {
	after, upTo uint64
	revisions   []uint64
}

// checker is a transport that carries the calls of applications and checks all calls and answers against the rules.
// It is safe for concurrent use.
type checker struct {
	transport http.RoundTripper

	mu         sync.Mutex
	locks      map[string]*lockHistory
	numbers    map[string]uint64
	issued     map[string]map[uint64]bool // numbers by name
	groups     map[string]*groupHistory
	violations []string
	counts     map[string]int // by verb and status; status 0 means no answer
	triggers   []*trigger
}

// trigger runs a function once, at the next call with one of its verbs.
type trigger struct {
	answered bool // fires when the call is answered 200, otherwise when it is sent
	verbs    []string
	fire     func()
}

func newChecker() *checker {
	return &checker{transport: &http.Transport{MaxIdleConnsPerHost: 16}, locks: map[string]*lockHistory{}, numbers: map[string]uint64{},
		issued: map[string]map[uint64]bool{}, groups: map[string]*groupHistory{}, counts: map[string]int{}}
}

func (ck *checker) addViolation(rule, format string, args ...any) {
	ck.violations = append(ck.violations, rule+": "+fmt.Sprintf(format, args...)+" at "+time.Now().Format("15:04:05.000"))
}

func (ck *checker) addTrigger(t *trigger) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.triggers = append(ck.triggers, t)
}

// removeTrigger removes a trigger. It reports false if the trigger has already fired.
func (ck *checker) removeTrigger(t *trigger) bool {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	at := slices.Index(ck.triggers, t)
	if at < 0 {
		return false
	}
	ck.triggers = slices.Delete(ck.triggers, at, at+1)
	return true
}

// fireTriggers fires and removes the triggers that wait for a call. The caller holds ck.mu.
func (ck *checker) fireTriggers(c *applicationCall, answered bool) {
	ck.triggers = slices.DeleteFunc(ck.triggers, func(t *trigger) bool {
		if t.answered != answered || !slices.Contains(t.verbs, c.verb) {
			return false
		}
		go t.fire()
		return true
	})
}

// RoundTrip implements http.RoundTripper.
func (ck *checker) RoundTrip(q *http.Request) (*http.Response, error) {
	c := readCall(q)
	ck.send(c)
	response, err := ck.transport.RoundTrip(q)
	if err != nil {
		ck.count(c, 0)
		return nil, err
	}
	text, err := io.ReadAll(response.Body)
	response.Body.Close()
	if err != nil {
		ck.count(c, 0)
		return nil, err
	}
	response.Body = io.NopCloser(bytes.NewReader(text))
	ck.count(c, response.StatusCode)
	ck.checkAnswer(c, response.StatusCode, text)
	return response, nil
}

// readCall parses a call that is about to be sent.
func readCall(q *http.Request) *applicationCall {
	verb, name, _ := strings.Cut(strings.TrimPrefix(q.URL.Path, "/v1/"), "/")
	c := &applicationCall{verb: verb, name: name, address: q.URL.Host, sent: time.Now()}
	c.after, _ = strconv.ParseUint(q.URL.Query().Get("after"), 10, 64) // 0 if it is not a watch
	if q.GetBody != nil {
		if body, err := q.GetBody(); err == nil {
			_ = json.NewDecoder(body).Decode(&c.body)
		}
	}
	return c
}

func (ck *checker) count(c *applicationCall, status int) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.counts[fmt.Sprint(c.verb, " ", status)]++
}

// send records what was known before a call.
func (ck *checker) send(c *applicationCall) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	switch c.verb {
	case "Locks.Begin":
		for holder, fence := range ck.lock(c.name).highest {
			if holder != c.body.Holder {
				c.lowerBound = max(c.lowerBound, fence)
			}
		}
	case "Locks.Finish":
		if h := ck.lock(c.name).holdings[c.body.Holder]; h != nil && h.fence == c.body.Fence {
			h.released = true
		}
	case "numbers":
		c.lowerBound = ck.numbers[c.name]
	case "Cells.Replace":
		ck.sendPut(c)
	case "Cells.Get":
		c.lowerBound = ck.group(c.name).newestOf[c.name]
	case "watch":
		c.lowerBound = ck.group(c.name).newest
	}
	ck.fireTriggers(c, false)
}

func (ck *checker) sendPut(c *applicationCall) {
	g := ck.group(c.name)
	c.lowerBound = g.newestOf[c.name]
	if g.puts[c.name] == nil {
		g.puts[c.name] = map[string]*putHistory{}
	}
	if g.puts[c.name][c.body.Value] == nil {
		g.puts[c.name][c.body.Value] = &putHistory{lowerBound: g.newest, ifRevision: c.body.IfRevision}
	}
}

func (ck *checker) lock(name string) *lockHistory {
	if ck.locks[name] == nil {
		ck.locks[name] = &lockHistory{map[string]*holding{}, map[uint64]string{}, map[string]uint64{}}
	}
	return ck.locks[name]
}

// group returns the history of the group of a key, or of a group itself.
func (ck *checker) group(key string) *groupHistory {
	name, _, _ := strings.Cut(key, ".")
	if ck.groups[name] == nil {
		ck.groups[name] = &groupHistory{byRevision: map[uint64]applicationPut{}, newestOf: map[string]uint64{},
			puts: map[string]map[string]*putHistory{}}
	}
	return ck.groups[name]
}

// checkAnswer checks an answer against the rules.
func (ck *checker) checkAnswer(c *applicationCall, status int, text []byte) {
	var a applicationAnswer
	if err := json.Unmarshal(text, &a); err != nil && status == http.StatusOK {
		a = applicationAnswer{}
	}
	ck.mu.Lock()
	defer ck.mu.Unlock()
	switch {
	case status == http.StatusOK:
		ck.checkSuccess(c, &a)
		ck.fireTriggers(c, true)
	case status == http.StatusConflict && c.verb == "Locks.Heartbeat":
		ck.checkDeniedRenewal(c)
	case status == http.StatusPreconditionFailed:
		ck.checkRejectedPut(c, a.Rev)
	case status == http.StatusNotFound && c.verb == "Cells.Get":
		ck.checkRead(c, "", 0)
	case status == http.StatusGone:
		ck.addViolation("LOST", "the history for a watch of %s after %d is no longer kept", c.name, c.after)
	case status == http.StatusBadRequest || status == http.StatusNotFound:
		ck.addViolation("CALL", "%s %s answered %d", c.verb, c.name, status)
	}
}

func (ck *checker) checkSuccess(c *applicationCall, a *applicationAnswer) {
	switch c.verb {
	case "Locks.Begin":
		ck.checkGrant(c, a.Fence)
	case "Locks.Heartbeat":
		ck.checkRenewal(c)
	case "numbers":
		ck.checkNumber(c, a.Value)
	case "Cells.Replace":
		ck.checkPut(c, a.Rev)
	case "Cells.Get":
		var value string
		_ = json.Unmarshal(a.Value, &value)
		ck.checkRead(c, value, a.Rev)
	case "watch":
		ck.checkWatch(c, a)
	}
}

func (ck *checker) checkGrant(c *applicationCall, fence uint64) {
	l, now := ck.lock(c.name), time.Now()
	holder := c.body.Holder
	if fence <= c.lowerBound {
		ck.addViolation("ONE", "lock %s: %s got fence %d, another had %d before", c.name, holder, fence, c.lowerBound)
	}
	if owner, known := l.fences[fence]; known && owner != holder {
		ck.addViolation("ONE", "lock %s: fence %d went to %s and %s", c.name, fence, owner, holder)
	}
	if fence < l.highest[holder] {
		ck.addViolation("ONE", "lock %s: %s got fence %d after %d", c.name, holder, fence, l.highest[holder])
	}
	l.fences[fence] = holder
	l.highest[holder] = max(l.highest[holder], fence)
	until := c.sent.Add(c.hold())
	l.holdings[holder] = &holding{fence: fence, until: until}
	ck.checkSingleHolder(c, now)
}

// checkSingleHolder looks for two callers that both believe they hold a lock.
func (ck *checker) checkSingleHolder(c *applicationCall, now time.Time) {
	for other, h := range ck.lock(c.name).holdings {
		own := ck.lock(c.name).holdings[c.body.Holder]
		if other != c.body.Holder && h.isValid(now) && own.isValid(now) {
			ck.addViolation("ONE", "lock %s: %s holds it with fence %d and %s with %d, for %v more", c.name, c.body.Holder, own.fence, other, h.fence,
				h.until.Sub(now))
		}
	}
}

func (ck *checker) checkRenewal(c *applicationCall) {
	h, now := ck.lock(c.name).holdings[c.body.Holder], time.Now()
	if h == nil || h.fence != c.body.Fence || !h.isValid(now) {
		return // the answer came after the lock was lost or released
	}
	if until := c.sent.Add(c.hold()); until.After(h.until) {
		h.until = until
	}
	ck.checkSingleHolder(c, now)
}

// checkDeniedRenewal reports a renewal that was denied though the lock has not expired.
func (ck *checker) checkDeniedRenewal(c *applicationCall) {
	if h := ck.lock(c.name).holdings[c.body.Holder]; h != nil && h.fence == c.body.Fence && h.isValid(time.Now()) {
		ck.addViolation("HOLD", "lock %s: %s was denied fence %d %v before the lock expired", c.name, c.body.Holder, h.fence, time.Until(h.until))
		h.released = true
	}
}

func (ck *checker) checkNumber(c *applicationCall, text json.RawMessage) {
	var number uint64
	_ = json.Unmarshal(text, &number) // a missing number is 0, which breaks the rule
	if number <= c.lowerBound {
		ck.addViolation("ORDER", "number %s: %d after %d", c.name, number, c.lowerBound)
	}
	if ck.issued[c.name] == nil {
		ck.issued[c.name] = map[uint64]bool{}
	}
	if ck.issued[c.name][number] {
		ck.addViolation("ORDER", "number %s: %d twice", c.name, number)
	}
	ck.issued[c.name][number] = true
	ck.numbers[c.name] = max(ck.numbers[c.name], number)
}

// recordValue records that a key had a value at a revision, and checks that against what is known.
func (ck *checker) recordValue(put applicationPut) {
	g := ck.group(put.Name)
	if known, ok := g.byRevision[put.Rev]; ok && known != put {
		ck.addViolation("ORDER", "revision %d belongs to %v and to %v", put.Rev, known, put)
	}
	g.byRevision[put.Rev] = put
	g.newest = max(g.newest, put.Rev)
	g.newestOf[put.Name] = max(g.newestOf[put.Name], put.Rev)
	sent := g.puts[put.Name][put.Value]
	if sent == nil {
		ck.addViolation("MIXED", "%v was never put", put)
		return
	}
	if sent.revision != 0 && sent.revision != put.Rev {
		ck.addViolation("MIXED", "%v was seen at revision %d before", put, sent.revision)
	}
	if sent.rejected {
		ck.addViolation("REFUSED", "%v was rejected", put)
	}
	if put.Rev <= sent.lowerBound {
		ck.addViolation("ORDER", "%v got its revision though it was sent after revision %d was seen", put, sent.lowerBound)
	}
	sent.revision, sent.observed = put.Rev, true
}

func (ck *checker) checkPut(c *applicationCall, revision uint64) {
	ck.recordValue(applicationPut{c.name, c.body.Value, revision})
}

func (ck *checker) checkRejectedPut(c *applicationCall, revision uint64) {
	g := ck.group(c.name)
	put := g.puts[c.name][c.body.Value]
	if put.revision != 0 {
		ck.addViolation("REFUSED", "%s=%s was rejected, but was seen at revision %d", c.name, c.body.Value, put.revision)
	}
	if revision < c.lowerBound {
		ck.addViolation("STALE", "%s was rejected at revision %d after %d was seen", c.name, revision, c.lowerBound)
	}
	put.rejected = true
	if revision != 0 {
		g.mismatches = append(g.mismatches, applicationPut{Name: c.name, Rev: revision})
	}
}

func (ck *checker) checkRead(c *applicationCall, value string, revision uint64) {
	if revision < c.lowerBound {
		ck.addViolation("STALE", "%s was read at revision %d after %d was seen", c.name, revision, c.lowerBound)
	}
	if revision != 0 {
		ck.recordValue(applicationPut{c.name, value, revision})
	}
}

func (ck *checker) checkWatch(c *applicationCall, a *applicationAnswer) {
	answer := watchAnswer{after: c.after, upTo: a.Rev}
	last := c.after
	for _, put := range a.Events {
		if put.Rev <= last || put.Rev > a.Rev {
			ck.addViolation("ORDER", "watch of %s after %d up to %d returns revision %d after %d", c.name, c.after, a.Rev, put.Rev, last)
		}
		last = put.Rev
		answer.revisions = append(answer.revisions, put.Rev)
		ck.recordValue(put)
	}
	if c.after == 0 {
		if a.Rev < c.lowerBound {
			ck.addViolation("STALE", "watch of %s begins at revision %d after %d was seen", c.name, a.Rev, c.lowerBound)
		}
		return
	}
	g := ck.group(c.name)
	g.watchAnswers = append(g.watchAnswers, answer)
}

// finish makes the checks that need the whole history.
func (ck *checker) finish() {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	for name, g := range ck.groups {
		ck.checkWatchAnswers(name, g)
		ck.checkConditions(g)
		for _, m := range g.mismatches {
			if g.byRevision[m.Rev].Name != m.Name {
				ck.addViolation("MIXED", "a put of %s was rejected for revision %d, which is of %v", m.Name, m.Rev, g.byRevision[m.Rev])
			}
		}
	}
}

// checkWatchAnswers looks for puts that a watch skipped.
func (ck *checker) checkWatchAnswers(name string, g *groupHistory) {
	for _, answer := range g.watchAnswers {
		at := 0
		for revision := answer.after + 1; revision <= answer.upTo; revision++ {
			if at < len(answer.revisions) && answer.revisions[at] == revision {
				at++
				continue
			}
			if put, known := g.byRevision[revision]; known {
				ck.addViolation("ORDER", "a watch of %s after %d up to %d skipped %v", name, answer.after, answer.upTo, put)
			}
		}
	}
}

// checkConditions looks for conditional puts that replaced a revision other than the one they named.
func (ck *checker) checkConditions(g *groupHistory) {
	before := map[string]uint64{}
	for revision := uint64(1); revision <= g.newest; revision++ {
		put, known := g.byRevision[revision]
		if !known {
			continue
		}
		sent := g.puts[put.Name][put.Value]
		if sent != nil && sent.ifRevision != nil && before[put.Name] != *sent.ifRevision {
			ck.addViolation("ORDER", "%v was conditional on revision %d, but followed %d", put, *sent.ifRevision, before[put.Name])
		}
		before[put.Name] = revision
	}
}

// outcome returns the number of calls by verb and status, and the violations found.
func (ck *checker) outcome() (map[string]int, []string) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	return ck.counts, ck.violations
}
