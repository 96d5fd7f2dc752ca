// Package system has stand-ins for what a router fleet meets outside: hosts of models and the platform's list of them.
// They speak as much of the protocol as rehearsals on loopback need.
package system

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Instance is one entry of the platform's list.
type Instance struct {
	ID      string `json:"id"`
	Backend string `json:"backend"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
}

// pageSize is small, so that a rehearsal meets several pages.
const pageSize = 2

// Platform lists hosts.
type Platform struct {
	*httptest.Server
	Calls atomic.Int64

	mu        sync.Mutex
	instances []Instance
}

// NewPlatform starts a platform that lists nothing.
func NewPlatform() *Platform {
	p := &Platform{}
	p.Server = httptest.NewServer(http.HandlerFunc(p.handleList))
	return p
}

// Address is where it listens, host:port.
func (p *Platform) Address() string { return strings.TrimPrefix(p.URL, "http://") }

// Set replaces the list.
func (p *Platform) SetInstances(instances ...Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = instances
}

func (p *Platform) handleList(w http.ResponseWriter, r *http.Request) {
	p.Calls.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	from, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Query().Get("page_token"), "p-")) // 0 without one
	end := min(from+pageSize, len(p.instances))
	page := struct {
		Instances []Instance `json:"instances"`
		NextToken *string    `json:"next_token"`
	}{Instances: p.instances[min(from, end):end]}
	if end < len(p.instances) {
		next := fmt.Sprint("p-", end)
		page.NextToken = &next
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}

// Behaviour says how a host treats a request.
type Behaviour int

// The behaviours of a host.
const (
	Serve              Behaviour = iota
	RefuseUnexecuted             // 503 with Not-Executed
	TruncateStream               // a stream ends in the middle of its third event
	FailInternally               // 500 of its own
	AnswerOtherRequest           // the answer of another request
	NeverAnswer                  // nothing comes until the caller leaves
)

// Events is how many events a whole stream of a host has.
const StreamEvents = 6

// Host is one host of a service.
type Host struct {
	*httptest.Server
	ID string

	mu         sync.Mutex
	behaviour  Behaviour
	executed   []string // ids of the requests that it ran
	lastHeader http.Header
	lastBody   string
}

// NewHost starts a host that serves.
func NewHost(id string) *Host {
	h := &Host{ID: id}
	h.Server = httptest.NewServer(http.HandlerFunc(h.handle))
	return h
}

// Address is where it listens, host:port.
func (h *Host) Address() string { return strings.TrimPrefix(h.URL, "http://") }

// Behave changes what it does from now on.
func (h *Host) SetBehaviour(b Behaviour) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.behaviour = b
}

// Runs gives the ids of the requests that it ran.
func (h *Host) ExecutedRequests() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string{}, h.executed...)
}

// Last gives the header and body of the newest request that it ran.
func (h *Host) LastRequest() (http.Header, string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastHeader, h.lastBody
}

// Seal is the stamp of a host's answer to a request.
func ResponseSeal(host, id string) string { return host + "." + id }

func (h *Host) handle(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != h.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var body strings.Builder
	if _, err := fmt.Fprint(&body, readAll(r)); err != nil {
		return
	}
	h.mu.Lock()
	behaviour := h.behaviour
	if behaviour != RefuseUnexecuted {
		h.executed, h.lastHeader, h.lastBody = append(h.executed, id), r.Header.Clone(), body.String()
	}
	h.mu.Unlock()
	switch behaviour {
	case RefuseUnexecuted:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case NeverAnswer:
		<-r.Context().Done()
		return
	case AnswerOtherRequest:
		w.Header().Set("Request-Id", "another")
	}
	w.Header().Set("Response-Seal", ResponseSeal(h.ID, id))
	if behaviour == FailInternally {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if strings.Contains(r.URL.Path, "/stream/") {
		h.stream(w, r, behaviour)
		return
	}
	fmt.Fprint(w, "answer to ", id)
}

func (h *Host) stream(w http.ResponseWriter, r *http.Request, behaviour Behaviour) {
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without one
	for i := from + 1; i <= StreamEvents; i++ {
		if behaviour == TruncateStream && i == from+3 {
			fmt.Fprintf(w, "id: %d\nda", i)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i)
		w.(http.Flusher).Flush()
		time.Sleep(time.Millisecond) // a model makes events one after the other
	}
}

func readAll(r *http.Request) string {
	var b strings.Builder
	buffer := make([]byte, 4096)
	for {
		n, err := r.Body.Read(buffer)
		b.Write(buffer[:n])
		if err != nil {
			return b.String()
		}
	}
}
