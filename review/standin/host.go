//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// host simulates a correct host: it runs the requests that are meant for it, echoes the request ID, seals its answers
// and answers at once.
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
	fmt.Fprintf(w, "answer to %s", id)
}

// executed returns the requests that this host ran, in order.
func (h *host) executed() []run {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]run{}, h.runs...)
}
