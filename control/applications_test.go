package control

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivybank/control/replica"
	"ivybank/wire"
)

// commandOf returns the command that a request is decoded to, or false if it is refused or matches no route.
func commandOf(method, target, body string) (command wire.Command, ok bool) {
	mux := http.NewServeMux()
	for _, call := range applicationCalls {
		mux.HandleFunc(call.pattern, func(w http.ResponseWriter, r *http.Request) {
			command, ok = readCommand(w, r, call.kind)
		})
	}
	mux.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(method, target, strings.NewReader(body)))
	return command, ok
}

func TestApplicationCallsAreRead(t *testing.T) {
	revision, absent := uint64(907), uint64(0)
	for _, test := range []struct {
		method, target, body string
		want                 wire.Command
	}{
		{"POST", "/v1/Locks.Begin/l1f", `{"holder":"a3.7","hold_ms":3000}`,
			wire.Command{Kind: wire.BeginLock, Name: "l1f", Holder: "a3.7", HoldMS: 3000}},
		{"POST", "/v1/Locks.Begin/l1f", `{"holder":"a","hold_ms":0.5,"other":1}`,
			wire.Command{Kind: wire.BeginLock, Name: "l1f", Holder: "a", HoldMS: 1}},
		{"POST", "/v1/Locks.Heartbeat/l", `{"holder":"a","fence":41,"hold_ms":3}`,
			wire.Command{Kind: wire.HeartbeatLock, Name: "l", Holder: "a", Fence: 41, HoldMS: 3}},
		{"POST", "/v1/Locks.Finish/l", `{"holder":"a","fence":18446744073709551615}`,
			wire.Command{Kind: wire.FinishLock, Name: "l", Holder: "a", Fence: 1<<64 - 1}},
		{"POST", "/v1/numbers/n%202", `{}`, wire.Command{Kind: wire.NextNumber, Name: "n 2"}},
		{"POST", "/v1/Cells.Replace/g1.2d", `{"value":"v","if_revision":907}`,
			wire.Command{Kind: wire.ReplaceKey, Name: "g1.2d", Value: "v", IfRevision: &revision}},
		{"POST", "/v1/Cells.Replace/g1.2d", `{"value":"v","if_revision":0}`,
			wire.Command{Kind: wire.ReplaceKey, Name: "g1.2d", Value: "v", IfRevision: &absent}},
		{"POST", "/v1/Cells.Replace/g1.2d", `{"value":"v"}`, wire.Command{Kind: wire.ReplaceKey, Name: "g1.2d", Value: "v"}},
		{"GET", "/v1/Cells.Get/g1.2d", "", wire.Command{Kind: wire.GetKey, Name: "g1.2d"}},
		{"GET", "/v1/watch/g1.?after=930&wait_ms=2000", "",
			wire.Command{Kind: wire.WatchGroup, Name: "g1.", After: 930, WaitMS: 2000}},
		{"GET", "/v1/watch/g1.", "", wire.Command{Kind: wire.WatchGroup, Name: "g1."}},
	} {
		command, ok := commandOf(test.method, test.target, test.body)
		assert.Assert(t, ok, "%s %s", test.target, test.body)
		assert.DeepEqual(t, command, test.want)
	}
}

func TestMalformedApplicationCallsAreRefused(t *testing.T) {
	for _, test := range []struct{ method, target, body string }{
		{"POST", "/v1/Locks.Begin/l", ``},
		{"POST", "/v1/Locks.Begin/l", `{"holder":"a","hold_ms":3000`},
		{"POST", "/v1/Locks.Begin/l", `{"holder":7,"hold_ms":3000}`},
		{"POST", "/v1/Locks.Begin/l", `{"holder":"a","hold_ms":-1}`},
		{"POST", "/v1/Locks.Begin/l", `{"holder":"a","hold_ms":1e12}`},
		{"POST", "/v1/Locks.Finish/l", `{"holder":"a","fence":-1}`},
		{"POST", "/v1/Locks.Begin/l", `{"holder":"` + strings.Repeat("a", maxCallBodyBytes) + `","hold_ms":1}`},
		{"POST", "/v1/Cells.Replace/k", `{"value":"v","if_revision":1.5}`},
		{"GET", "/v1/watch/g.?after=x", ""},
		{"GET", "/v1/watch/g.?wait_ms=1s", ""},
		{"GET", "/v1/numbers/n", ""},
	} {
		_, ok := commandOf(test.method, test.target, test.body)
		assert.Assert(t, !ok, "%s %s", test.target, test.body)
	}
}

// answerOf returns the HTTP response for an answer, or false if the connection is closed instead.
func answerOf(path string, a wire.Answer) (r *httptest.ResponseRecorder, answered bool) {
	h := &applicationHandler{&Node{counters: newNodeCounters()}}
	r = httptest.NewRecorder()
	defer func() { answered = recover() == nil }()
	for _, call := range applicationCalls {
		if strings.Contains(call.pattern, path) {
			h.write(r, &call, a)
		}
	}
	return r, true
}

func TestAnswersToApplications(t *testing.T) {
	for _, test := range []struct {
		path   string
		answer wire.Answer
		status int
		body   string
	}{
		{"Locks.Begin", wire.Answer{Outcome: wire.Done, Fence: 41}, http.StatusOK, `{"fence":41}`},
		{"Locks.Begin", wire.Answer{Outcome: wire.HeldByOther}, http.StatusConflict, `{}`},
		{"Locks.Heartbeat", wire.Answer{Outcome: wire.Done}, http.StatusOK, `{}`},
		{"Locks.Heartbeat", wire.Answer{Outcome: wire.LockLost}, http.StatusConflict, `{}`},
		{"Locks.Finish", wire.Answer{Outcome: wire.Done}, http.StatusOK, `{}`},
		{"numbers", wire.Answer{Outcome: wire.Done, Number: 5120}, http.StatusOK, `{"value":5120}`},
		{"Cells.Replace", wire.Answer{Outcome: wire.Done, Revision: 931}, http.StatusOK, `{"rev":931}`},
		{"Cells.Replace", wire.Answer{Outcome: wire.Mismatched, Revision: 922}, http.StatusPreconditionFailed, `{"rev":922}`},
		{"Cells.Replace", wire.Answer{Outcome: wire.Full}, http.StatusTooManyRequests, `{}`},
		{"Cells.Get", wire.Answer{Outcome: wire.Done, Value: "v", Revision: 931}, http.StatusOK, `{"value":"v","rev":931}`},
		{"Cells.Get", wire.Answer{Outcome: wire.NotFound}, http.StatusNotFound, `{}`},
		{"watch", wire.Answer{Outcome: wire.Done, Revision: 934,
			Events: []wire.Change{{Key: "g1.2d", Value: "v", Revision: 931}}},
			http.StatusOK, `{"events":[{"name":"g1.2d","value":"v","rev":931}],"rev":934}`},
		{"watch", wire.Answer{Outcome: wire.Done, Revision: 934}, http.StatusOK, `{"events":[],"rev":934}`},
		{"watch", wire.Answer{Outcome: wire.Compacted}, http.StatusGone, `{}`},
		{"numbers", wire.Answer{Outcome: wire.NotServed}, http.StatusServiceUnavailable, `{}`},
		{"numbers", wire.Answer{Outcome: wire.Invalid}, http.StatusBadRequest, `{}`},
	} {
		r, answered := answerOf(test.path, test.answer)
		assert.Assert(t, answered)
		assert.Equal(t, r.Code, test.status)
		assert.Equal(t, r.Body.String(), test.body)
		wantsRetry := test.status == http.StatusServiceUnavailable || test.status == http.StatusTooManyRequests
		assert.Equal(t, r.Header().Get("Retry-After") != "", wantsRetry)
	}
}

// A call with an unknown outcome must not be answered, since any status would state an outcome.
func TestUnknownOutcomeClosesTheConnection(t *testing.T) {
	for _, outcome := range []wire.Outcome{wire.OutcomeUnknown, 0, 99} {
		_, answered := answerOf("numbers", wire.Answer{Outcome: outcome})
		assert.Assert(t, !answered)
	}
}

// pendingNode has a part without a leader whose queue is never processed, so calls stay in flight.
func pendingNode() *Node {
	p := &part{replica: replica.New(wire.Member{ID: "a", IP: "10.0.0.1"}, replica.GroupConfig{TargetSize: 3},
		replica.PersistentState{}, rand.New(rand.NewPCG(1, 2)), 0)}
	return &Node{counters: newNodeCounters(), env: &directEnvironment{}, replica: p.replica, parts: []*part{p}}
}

// directEnvironment runs events immediately, with a clock that is always 0.
type directEnvironment struct {
	Environment
	mutex sync.Mutex
}

func (e *directEnvironment) Now() time.Duration { return 0 }

func (e *directEnvironment) Do(event func()) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	event()
}

// readAfterHalfClose sends a request, closes the write side, and returns everything that the server sends back.
func readAfterHalfClose(t *testing.T, handler http.Handler, request string) string {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	conn, err := net.Dial("tcp4", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, request)
	assert.NilError(t, err)
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	answer, err := io.ReadAll(conn)
	assert.NilError(t, err)
	return string(answer)
}

// A call whose request context ended before its outcome was known was once answered with an empty 200, so that a
// heartbeat, a finish or an update that was never acknowledged counted as successful.
func TestAbandonedCallGetsNoImplicitOK(t *testing.T) {
	mux := http.NewServeMux()
	(&applicationHandler{pendingNode()}).register(mux)
	body := `{"holder":"a","fence":1,"hold_ms":3000}`
	request := fmt.Sprintf("POST /v1/Locks.Heartbeat/l HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body),
		body)
	assert.Equal(t, readAfterHalfClose(t, mux, request), "")
}

func TestAbandonedUpdateGetsNoImplicitOK(t *testing.T) {
	h := newOperatorHandler(pendingNode())
	never := func(http.ResponseWriter, *http.Request, func(response)) {}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.await(w, r, callReplace, never) })
	assert.Equal(t, readAfterHalfClose(t, handler,
		"POST /v1/Config.Replace HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"), "")
}

// Log entries are stored by all members, so they must not carry fields that the command doesn't use.
func TestFieldsOfOtherKindsAreDropped(t *testing.T) {
	all := `{"holder":"a","fence":7,"hold_ms":5,"value":"v","if_revision":3}`
	for target, want := range map[string]wire.Command{
		"/v1/numbers/n":         {Kind: wire.NextNumber, Name: "n"},
		"/v1/Locks.Begin/n":     {Kind: wire.BeginLock, Name: "n", Holder: "a", HoldMS: 5},
		"/v1/Locks.Heartbeat/n": {Kind: wire.HeartbeatLock, Name: "n", Holder: "a", Fence: 7, HoldMS: 5},
		"/v1/Locks.Finish/n":    {Kind: wire.FinishLock, Name: "n", Holder: "a", Fence: 7},
	} {
		command, ok := commandOf("POST", target, all)
		assert.Assert(t, ok)
		assert.DeepEqual(t, command, want)
	}
}
