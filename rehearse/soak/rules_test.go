package soak

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// scriptedTransport answers each call with the next answer of a list: a status, a space and a body.
type scriptedTransport struct{ answers []string }

func (s *scriptedTransport) RoundTrip(*http.Request) (*http.Response, error) {
	status, body, _ := strings.Cut(s.answers[0], " ")
	s.answers = s.answers[1:]
	codes := map[string]int{"200": 200, "404": 404, "409": 409, "410": 410, "412": 412}
	return &http.Response{StatusCode: codes[status], Body: io.NopCloser(strings.NewReader(body))}, nil
}

// brokenRules sends calls ("VERB/NAME BODY") through a checker whose transport returns answers, and returns the rules
// that the checker found broken.
func brokenRules(t *testing.T, calls, answers []string) []string {
	t.Helper()
	ck := newChecker()
	ck.transport = &scriptedTransport{answers}
	for _, c := range calls {
		path, body, _ := strings.Cut(c, " ")
		method := http.MethodPost
		if strings.HasPrefix(path, "watch") || strings.HasPrefix(path, "Cells.Get") {
			method = http.MethodGet
		}
		q, err := http.NewRequest(method, "http://fleet/v1/"+path, bytes.NewReader([]byte(body)))
		assert.NilError(t, err)
		_, err = ck.RoundTrip(q)
		assert.NilError(t, err)
	}
	ck.finish()
	var rules []string
	for _, violation := range ck.violations {
		rule, _, _ := strings.Cut(violation, ":")
		rules = append(rules, rule)
	}
	return rules
}

const (
	beginA     = `Locks.Begin/l {"holder":"a","hold_ms":60000}`
	beginB     = `Locks.Begin/l {"holder":"b","hold_ms":60000}`
	beginShort = `Locks.Begin/l {"holder":"a","hold_ms":1}`
	beatA      = `Locks.Heartbeat/l {"holder":"a","fence":1,"hold_ms":60000}`
	finishA    = `Locks.Finish/l {"holder":"a","fence":1}`
	putOne     = `Cells.Replace/g.a {"value":"one"}`
	putTwo     = `Cells.Replace/g.a {"value":"two"}`
	putOnZero  = `Cells.Replace/g.a {"value":"zero","if_revision":0}`
	get        = `Cells.Get/g.a`
	watchOne   = `watch/g.?after=1&wait_ms=1`
)

func TestCheckerReportsViolations(t *testing.T) {
	for name, test := range map[string]struct {
		calls, answers []string
		broken         string
	}{
		"two holders":                 {[]string{beginA, beginB}, []string{`200 {"fence":1}`, `200 {"fence":2}`}, "ONE"},
		"a fence that is not higher":  {[]string{beginA, finishA, beginB}, []string{`200 {"fence":5}`, `200 {}`, `200 {"fence":4}`}, "ONE"},
		"a hold that ends early":      {[]string{beginA, beatA}, []string{`200 {"fence":1}`, `409 {}`}, "HOLD"},
		"a number that doesn't rise":  {[]string{"numbers/n {}", "numbers/n {}"}, []string{`200 {"value":7}`, `200 {"value":7}`}, "ORDER"},
		"a revision twice":            {[]string{putOne, putTwo}, []string{`200 {"rev":1}`, `200 {"rev":1}`}, "ORDER"},
		"a put over a later revision": {[]string{putOne, putOnZero}, []string{`200 {"rev":1}`, `200 {"rev":2}`}, "ORDER"},
		"an old read":                 {[]string{putOne, putTwo, get}, []string{`200 {"rev":1}`, `200 {"rev":2}`, `200 {"value":"one","rev":1}`}, "STALE"},
		"a key that is gone":          {[]string{putOne, get}, []string{`200 {"rev":1}`, `404 {}`}, "STALE"},
		"a value of nobody":           {[]string{get}, []string{`200 {"value":"other","rev":1}`}, "MIXED"},
		"a put at two revisions":      {[]string{putOne, putOne}, []string{`200 {"rev":1}`, `200 {"rev":2}`}, "MIXED"},
		"a mismatch with nothing":     {[]string{putOnZero}, []string{`412 {"rev":3}`}, "MIXED"},
		"a rejected value shown":      {[]string{putOne, putOnZero, get}, []string{`200 {"rev":1}`, `412 {"rev":1}`, `200 {"value":"zero","rev":2}`}, "REFUSED"},
		"a shown value rejected":      {[]string{putOnZero, putOnZero}, []string{`200 {"rev":1}`, `412 {"rev":1}`}, "REFUSED"},
		"a watch that skips": {[]string{putOne, putTwo, watchOne}, []string{`200 {"rev":1}`, `200 {"rev":2}`, `200 {"events":[],"rev":2}`},
			"ORDER"},
		"a watch that falls": {[]string{putOne, watchOne}, []string{`200 {"rev":1}`, `200 {"events":[{"name":"g.a","value":"one","rev":1}],"rev":1}`},
			"ORDER"},
		"a watch that begins before": {[]string{putOne, "watch/g.?after=0"}, []string{`200 {"rev":1}`, `200 {"events":[],"rev":0}`}, "STALE"},
		"history lost":               {[]string{watchOne}, []string{`410 {}`}, "LOST"},
	} {
		t.Run(name, func(t *testing.T) {
			rules := brokenRules(t, test.calls, test.answers)
			assert.Assert(t, len(rules) > 0, "no violation was found")
			assert.Equal(t, rules[0], test.broken)
		})
	}
}

func TestCheckerAcceptsValidHistory(t *testing.T) {
	calls := []string{beginA, beatA, finishA, beginB, putOnZero, putOne, putOnZero, get, watchOne, "numbers/n {}", "numbers/n {}"}
	answers := []string{`200 {"fence":1}`, `200 {}`, `200 {}`, `200 {"fence":2}`, `200 {"rev":1}`, `200 {"rev":2}`, `200 {"rev":1}`,
		`200 {"value":"one","rev":2}`, `200 {"events":[{"name":"g.a","value":"one","rev":2}],"rev":2}`, `200 {"value":3}`, `200 {"value":9}`}
	assert.Equal(t, len(brokenRules(t, calls, answers)), 0)

	ck := newChecker()
	ck.transport = &scriptedTransport{[]string{`200 {"fence":1}`, `200 {"fence":2}`}}
	for _, c := range []string{beginShort, beginB} {
		path, body, _ := strings.Cut(c, " ")
		q, err := http.NewRequest(http.MethodPost, "http://fleet/v1/"+path, strings.NewReader(body))
		assert.NilError(t, err)
		_, err = ck.RoundTrip(q)
		assert.NilError(t, err)
		time.Sleep(2 * time.Millisecond) // the short hold has expired
	}
	assert.Equal(t, len(ck.violations), 0)
}
