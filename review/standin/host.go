//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// host is a sound host: it runs what is meant for it, echoes the id, stamps its answers and ceases work at the deadline
// that it is handed or when its caller leaves. A path names how it works: /.../events/N/MS streams N events, one each MS
// milliseconds, /.../work/MS answers after MS milliseconds.
type host struct {
	id, service, address string
	record               *record
	server               *http.Server
	mu                   sync.Mutex
	runs                 []run
}

// run is one request that a host ran.
type run struct{ id, path string }

func startHost(r *record, id, service, ip string) (*host, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	h := &host{id: id, service: service, address: l.Addr().String(), record: r}
	h.server = &http.Server{Handler: h}
	go func() { _ = h.server.Serve(l) }()
	return h, nil
}

func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != h.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	h.mu.Lock()
	h.runs = append(h.runs, run{id, r.RequestURI})
	h.mu.Unlock()
	h.record.line("host %s (%s): runs %s %s, %d bytes, Deadline-Ms %s, Tenant %q", h.id, h.service, id, r.RequestURI, size, r.Header.Get("Deadline-Ms"), r.Header.Get("Tenant"))
	w.Header().Set("Response-Seal", h.id+"."+id)
	deadline := time.Now().Add(time.Hour)
	if ms, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64); err == nil {
		deadline = time.Now().Add(time.Duration(ms * float64(time.Millisecond)))
	}
	parts := strings.Split(r.URL.Path, "/")
	numbers := map[string][]int{}
	for i, part := range parts {
		for _, rest := range parts[i+1:] {
			n, err := strconv.Atoi(rest)
			if err != nil {
				break
			}
			numbers[part] = append(numbers[part], n)
		}
	}
	if n := numbers["events"]; len(n) == 2 {
		h.stream(w, r, id, n[0], time.Duration(n[1])*time.Millisecond, deadline)
		return
	}
	if n := numbers["work"]; len(n) == 1 {
		select {
		case <-time.After(min(time.Duration(n[0])*time.Millisecond, time.Until(deadline))):
		case <-r.Context().Done():
			h.record.line("host %s: %s ended by its caller", h.id, id)
			return
		}
	}
	fmt.Fprintf(w, "answer to %s", id)
}

func (h *host) stream(w http.ResponseWriter, r *http.Request, id string, events int, pause time.Duration, deadline time.Time) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := 1; i <= events; i++ {
		if i > 1 {
			select {
			case <-time.After(pause):
			case <-r.Context().Done():
				h.record.line("host %s: %s ended by its caller after event %d of %d", h.id, id, i-1, events)
				return
			}
		}
		if !time.Now().Before(deadline) {
			h.record.line("host %s: %s ceases at its deadline after event %d of %d", h.id, id, i-1, events)
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", i, i, id)
		if control.Flush() != nil {
			h.record.line("host %s: %s ended by its caller after event %d of %d", h.id, id, i, events)
			return
		}
	}
	h.record.line("host %s: %s whole, %d events", h.id, id, events)
}

// ran gives what this host ran, in order.
func (h *host) ran() []run {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]run{}, h.runs...)
}
