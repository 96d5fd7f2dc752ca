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

// heldLock is a lock in a stand-in.
type heldLock struct {
	holder string
	fence  uint64
	until  time.Time
}

// change is a put in a stand-in.
type change struct {
	Name  string `json:"name"`
	Value string `json:"value"`
	Rev   uint64 `json:"rev"`
}

// fakeServer serves the calls from memory, as one group of keys. All addresses of a test share it.
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
	var q fakeRequest
	if r.Method == http.MethodPost {
		_ = json.NewDecoder(r.Body).Decode(&q)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch verb {
	case "Locks.Begin":
		s.begin(w, id, q)
	case "Locks.Heartbeat":
		s.heartbeat(w, id, q)
	case "Locks.Finish":
		if l := s.locks[id]; l != nil && l.fence == q.Fence {
			delete(s.locks, id)
		}
		writeAnswer(w, http.StatusOK, nil)
	case "numbers":
		s.numbers[id]++
		writeAnswer(w, http.StatusOK, map[string]any{"value": s.numbers[id]})
	case "Cells.Replace":
		s.put(w, id, q)
	case "Cells.Get":
		s.get(w, id)
	}
}

func writeAnswer(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *fakeServer) begin(w http.ResponseWriter, id string, q fakeRequest) {
	l := s.locks[id]
	if l != nil && l.holder != q.Holder && time.Now().Before(l.until) {
		writeAnswer(w, http.StatusConflict, nil)
		return
	}
	s.fence++
	s.locks[id] = &heldLock{q.Holder, s.fence, time.Now().Add(time.Duration(q.HoldMS) * time.Millisecond)}
	writeAnswer(w, http.StatusOK, map[string]any{"fence": s.fence})
}

func (s *fakeServer) heartbeat(w http.ResponseWriter, id string, q fakeRequest) {
	l := s.locks[id]
	if l == nil || l.fence != q.Fence || !time.Now().Before(l.until) {
		writeAnswer(w, http.StatusConflict, nil)
		return
	}
	l.until = time.Now().Add(time.Duration(q.HoldMS) * time.Millisecond)
	writeAnswer(w, http.StatusOK, nil)
}

// newestChange gives the newest change of a key.
func (s *fakeServer) newestChange(key string) change {
	for i := len(s.changes) - 1; i >= 0; i-- {
		if s.changes[i].Name == key {
			return s.changes[i]
		}
	}
	return change{}
}

func (s *fakeServer) put(w http.ResponseWriter, key string, q fakeRequest) {
	for _, c := range s.changes {
		if c.Name == key && c.Value == q.Value {
			writeAnswer(w, http.StatusOK, map[string]any{"rev": c.Rev})
			return
		}
	}
	if present := s.newestChange(key); q.IfRevision != nil && *q.IfRevision != present.Rev {
		writeAnswer(w, http.StatusPreconditionFailed, map[string]any{"rev": present.Rev})
		return
	}
	s.changes = append(s.changes, change{key, q.Value, uint64(len(s.changes) + 1)})
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
		changes, forgotten := s.changes, s.compactedRevision
		s.mu.Unlock()
		newest := uint64(len(changes))
		switch {
		case after == 0:
			writeAnswer(w, http.StatusOK, map[string]any{"events": []change{}, "rev": newest})
			return
		case after < forgotten:
			writeAnswer(w, http.StatusGone, nil)
			return
		case after < newest || !time.Now().Before(until):
			writeAnswer(w, http.StatusOK, map[string]any{"events": changes[after:], "rev": newest})
			return
		}
		time.Sleep(fakePollInterval)
	}
}

// fault is how an address treats a call instead of serving it.
type fault func(q *http.Request, serve func() *http.Response) (*http.Response, error)

// fakeTransport carries calls to the stand-in, through the faults of the addresses. It is safe for concurrent use.
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

func (w *fakeTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	w.mu.Lock()
	w.calls = append(w.calls, q.URL.Host+q.URL.Path)
	w.sentAt = append(w.sentAt, time.Now())
	f := w.faults[q.URL.Host]
	w.mu.Unlock()
	serve := func() *http.Response {
		recorder := httptest.NewRecorder()
		w.server.ServeHTTP(recorder, q)
		return recorder.Result()
	}
	if f == nil {
		return serve(), nil
	}
	return f(q, serve)
}

// setFault has addresses treat their calls from now on; nil for serving them.
func (w *fakeTransport) setFault(f fault, addresses ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range addresses {
		w.faults[a] = f
	}
}

// countCalls tells how many calls have gone to where the text says.
func (w *fakeTransport) countCalls(text string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, c := range w.calls {
		if strings.Contains(c, text) {
			n++
		}
	}
	return n
}

// The faults.

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
	return nil, errors.New("connection ended")
}

func noAnswer(q *http.Request, _ func() *http.Response) (*http.Response, error) {
	<-q.Context().Done()
	return nil, context.Cause(q.Context())
}

// answerLost carries a call out, and loses the answer.
func answerLost(_ *http.Request, serve func() *http.Response) (*http.Response, error) {
	serve()
	return nil, errors.New("connection ended")
}

// delayedBy answers after a time.
func delayedBy(by time.Duration) fault {
	return func(q *http.Request, serve func() *http.Response) (*http.Response, error) {
		response := serve()
		select {
		case <-time.After(by):
			return response, nil
		case <-q.Context().Done():
			return nil, context.Cause(q.Context())
		}
	}
}
