// Package system has stand-ins for the external systems of a router fleet: hosts of models, and the platform that lists
// them. They implement the part of the protocol that tests on loopback need.
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

// Instance is one entry of the platform's list of hosts.
type Instance struct {
	ID      string `json:"id"`
	Backend string `json:"backend"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
}

// pageSize is small, so that tests get several pages.
const pageSize = 2

// Platform is an HTTP server that lists hosts. Calls counts the calls that it got.
type Platform struct {
	*httptest.Server
	Calls atomic.Int64

	mu        sync.Mutex
	instances []Instance
}

// NewPlatform starts a platform with an empty list.
func NewPlatform() *Platform {
	p := &Platform{}
	p.Server = httptest.NewServer(http.HandlerFunc(p.handleList))
	return p
}

// Address gives the address that the platform listens on, as host:port.
func (p *Platform) Address() string { return strings.TrimPrefix(p.URL, "http://") }

// SetInstances replaces the list.
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

// Behaviour says how a host handles a request.
type Behaviour int

// The behaviours of a host.
const (
	Serve              Behaviour = iota
	RefuseUnexecuted             // 503 with Not-Executed
	TruncateStream               // a stream is broken off in the middle of its third event
	FailInternally               // status 500
	AnswerOtherRequest           // an answer with the id of another request
	NeverAnswer                  // no answer until the caller disconnects
)

// StreamEvents is the number of events in a complete stream of a host.
const StreamEvents = 6

// Host is one model host of a service.
type Host struct {
	*httptest.Server
	ID string

	mu         sync.Mutex
	behaviour  Behaviour
	executed   []string // ids of the requests that it executed
	lastHeader http.Header
	lastBody   string
}

// NewHost starts a host with the behaviour Serve.
func NewHost(id string) *Host {
	h := &Host{ID: id}
	h.Server = httptest.NewServer(http.HandlerFunc(h.handle))
	return h
}

// Address gives the address that the host listens on, as host:port.
func (h *Host) Address() string { return strings.TrimPrefix(h.URL, "http://") }

// SetBehaviour changes how the host handles requests from now on.
func (h *Host) SetBehaviour(b Behaviour) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.behaviour = b
}

// ExecutedRequests gives the ids of the requests that the host executed.
func (h *Host) ExecutedRequests() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string{}, h.executed...)
}

// LastRequest gives the header and body of the latest request that the host executed.
func (h *Host) LastRequest() (http.Header, string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastHeader, h.lastBody
}

// ResponseSeal gives the value of the header Response-Seal in a host's answer to a request.
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
		time.Sleep(time.Millisecond) // a model generates events one after the other
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
