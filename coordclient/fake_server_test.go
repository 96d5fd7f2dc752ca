package coordclient_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heldLock is a lock in a fakeServer.
type heldLock struct {
	holder string
	fence  uint64
	until  time.Time
}

// change is a put in a fakeServer.
type change struct {
	Name  string `json:"name"`
	Value string `json:"value"`
	Rev   uint64 `json:"rev"`
}

// fakeServer serves calls from memory. All its keys are one group, and all addresses of a test share it.
type fakeServer struct {
	mu                sync.Mutex
	locks             map[string]*heldLock
	fence             uint64
	numbers           map[string]uint64
	changes           []change
	compactedRevision uint64 // watches after an earlier revision get 410
}

func newFakeServer() *fakeServer {
	return &fakeServer{locks: map[string]*heldLock{}, numbers: map[string]uint64{}}
}

type fakeRequest struct {
	Holder     string  `json:"holder"`
	Fence      uint64  `json:"fence"`
	HoldMS     int64   `json:"hold_ms"`
	Value      string  `json:"value"`
	IfRevision *uint64 `json:"if_revision"`
}

func (s *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	verb, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/"), "/")
	if verb == "watch" {
		s.watch(w, r)
		return
	}
	var request fakeRequest
	if r.Method == http.MethodPost {
		_ = json.NewDecoder(r.Body).Decode(&request)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch verb {
	case "Locks.Begin":
		s.begin(w, id, request)
	case "Locks.Heartbeat":
		s.heartbeat(w, id, request)
	case "Locks.Finish":
		if l := s.locks[id]; l != nil && l.fence == request.Fence {
			delete(s.locks, id)
		}
		writeAnswer(w, http.StatusOK, nil)
	case "numbers":
		s.numbers[id]++
		writeAnswer(w, http.StatusOK, map[string]any{"value": s.numbers[id]})
	case "Cells.Replace":
		s.put(w, id, request)
	case "Cells.Get":
		s.get(w, id)
	}
}

func writeAnswer(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *fakeServer) begin(w http.ResponseWriter, id string, request fakeRequest) {
	l := s.locks[id]
	if l != nil && l.holder != request.Holder && time.Now().Before(l.until) {
		writeAnswer(w, http.StatusConflict, nil)
		return
	}
	s.fence++
	s.locks[id] = &heldLock{request.Holder, s.fence, time.Now().Add(time.Duration(request.HoldMS) * time.Millisecond)}
	writeAnswer(w, http.StatusOK, map[string]any{"fence": s.fence})
}

func (s *fakeServer) heartbeat(w http.ResponseWriter, id string, request fakeRequest) {
	l := s.locks[id]
	if l == nil || l.fence != request.Fence || !time.Now().Before(l.until) {
		writeAnswer(w, http.StatusConflict, nil)
		return
	}
	l.until = time.Now().Add(time.Duration(request.HoldMS) * time.Millisecond)
	writeAnswer(w, http.StatusOK, nil)
}

// newestChange returns the newest change of a key, or the zero value if there is none.
func (s *fakeServer) newestChange(key string) change {
	for i := len(s.changes) - 1; i >= 0; i-- {
		if s.changes[i].Name == key {
			return s.changes[i]
		}
	}
	return change{}
}

func (s *fakeServer) put(w http.ResponseWriter, key string, request fakeRequest) {
	for _, c := range s.changes {
		if c.Name == key && c.Value == request.Value {
			writeAnswer(w, http.StatusOK, map[string]any{"rev": c.Rev})
			return
		}
	}
	if present := s.newestChange(key); request.IfRevision != nil && *request.IfRevision != present.Rev {
		writeAnswer(w, http.StatusPreconditionFailed, map[string]any{"rev": present.Rev})
		return
	}
	s.changes = append(s.changes, change{key, request.Value, uint64(len(s.changes) + 1)})
	writeAnswer(w, http.StatusOK, map[string]any{"rev": len(s.changes)})
}

func (s *fakeServer) get(w http.ResponseWriter, key string) {
	c := s.newestChange(key)
	if c.Rev == 0 {
		writeAnswer(w, http.StatusNotFound, nil)
		return
	}
	writeAnswer(w, http.StatusOK, map[string]any{"value": c.Value, "rev": c.Rev})
}

const fakePollInterval = 10 * time.Millisecond

func (s *fakeServer) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changes, compacted := s.changes, s.compactedRevision
		s.mu.Unlock()
		newest := uint64(len(changes))
		switch {
		case after == 0:
			writeAnswer(w, http.StatusOK, map[string]any{"events": []change{}, "rev": newest})
			return
		case after < compacted:
			writeAnswer(w, http.StatusGone, nil)
			return
		case after < newest || !time.Now().Before(until):
			writeAnswer(w, http.StatusOK, map[string]any{"events": changes[after:], "rev": newest})
			return
		}
		time.Sleep(fakePollInterval)
	}
}

// fault handles a call at an address in place of the server. It may call serve to have the call served.
type fault func(request *http.Request, serve func() *http.Response) (*http.Response, error)

// fakeTransport passes calls to the fakeServer, subject to the faults of the addresses. It is safe for concurrent use.
type fakeTransport struct {
	server *fakeServer

	mu     sync.Mutex
	faults map[string]fault // by address
	calls  []string         // address and path of each
	sentAt []time.Time
}

func newFakeTransport() *fakeTransport {
	return &fakeTransport{server: newFakeServer(), faults: map[string]fault{}}
}

func (t *fakeTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	t.mu.Lock()
	t.calls = append(t.calls, request.URL.Host+request.URL.Path)
	t.sentAt = append(t.sentAt, time.Now())
	f := t.faults[request.URL.Host]
	t.mu.Unlock()
	serve := func() *http.Response {
		recorder := httptest.NewRecorder()
		t.server.ServeHTTP(recorder, request)
		return recorder.Result()
	}
	if f == nil {
		return serve(), nil
	}
	return f(request, serve)
}

// setFault sets the fault of some addresses; nil means that their calls are served.
func (t *fakeTransport) setFault(f fault, addresses ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range addresses {
		t.faults[a] = f
	}
}

// countCalls returns the number of calls whose address and path contain the text.
func (t *fakeTransport) countCalls(text string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, c := range t.calls {
		if strings.Contains(c, text) {
			n++
		}
	}
	return n
}

// The following functions are or return faults.

func answerStatus(code int) fault {
	return func(*http.Request, func() *http.Response) (*http.Response, error) {
		recorder := httptest.NewRecorder()
		recorder.WriteHeader(code)
		return recorder.Result(), nil
	}
}

func unreachable(*http.Request, func() *http.Response) (*http.Response, error) {
	return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
}

func connectionLost(*http.Request, func() *http.Response) (*http.Response, error) {
	return nil, errors.New("connection lost")
}

func noAnswer(request *http.Request, _ func() *http.Response) (*http.Response, error) {
	<-request.Context().Done()
	return nil, context.Cause(request.Context())
}

// answerLost has the call served and drops the answer.
func answerLost(_ *http.Request, serve func() *http.Response) (*http.Response, error) {
	serve()
	return nil, errors.New("connection lost")
}

// delayedBy returns a fault that has the call served and delays the answer.
func delayedBy(by time.Duration) fault {
	return func(request *http.Request, serve func() *http.Response) (*http.Response, error) {
		response := serve()
		select {
		case <-time.After(by):
			return response, nil
		case <-request.Context().Done():
			return nil, context.Cause(request.Context())
		}
	}
}
