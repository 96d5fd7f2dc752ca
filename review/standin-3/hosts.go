package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is one execution of a request at a host.
type run struct {
	host   string
	number int64
}

// ledger keeps which requests hosts have run. It is safe for concurrent use.
type ledger struct {
	mu     sync.Mutex
	runs   map[string][]run // by id of the request
	number atomic.Int64
	record *record
}

func newLedger(r *record) *ledger { return &ledger{runs: map[string][]run{}, record: r} }

func (l *ledger) begin(host, id string) run {
	done := run{host, l.number.Add(1)}
	l.mu.Lock()
	l.runs[id] = append(l.runs[id], done)
	l.mu.Unlock()
	l.record.add("%s runs %s, run %d", host, id, done.number)
	return done
}

func (l *ledger) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs[id]...)
}

// host is one host of a service. serve answers a request that this host has begun to run.
type host struct {
	id       string
	ledger   *ledger
	listener net.Listener
	inflight atomic.Int64
	serve    func(h *host, w http.ResponseWriter, r *http.Request, of run)
}

const (
	hostSlots = 64
	service   = "service-a"
	hostName  = "review.example"
)

// startHosts starts hosts and adds them to the platform's list.
func startHosts(p *platform, l *ledger, count int,
	serve func(h *host, w http.ResponseWriter, r *http.Request, of run)) ([]*host, error) {
	var all []*host
	for i := range count {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		h := &host{id: fmt.Sprintf("i-%d", i+1), ledger: l, listener: listener, serve: serve}
		go func() { _ = (&http.Server{Handler: h}).Serve(listener) }()
		p.add(instance{ID: h.id, Backend: service, Address: listener.Addr().String(), Zone: "didube", Revision: "v1",
			Slots: hostSlots, State: "ready"})
		all = append(all, h)
	}
	return all, nil
}

func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != h.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" || h.inflight.Add(1) > hostSlots {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer h.inflight.Add(-1)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	h.serve(h, w, r, h.ledger.begin(h.id, id))
}

// seal is the Response-Seal of a run.
func (h *host) seal(of run) string { return h.id + "." + strconv.FormatInt(of.number, 16) }

// client is a client that keeps one connection for many requests.
type client struct {
	http   *http.Client
	fleet  *fleet
	record *record
	name   string
	sent   int
}

func newClient(f *fleet, name string) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1, DisableCompression: true}
	return &client{http: &http.Client{Transport: transport}, fleet: f, record: f.record, name: name}
}

// answer is what a client got for one request.
type answer struct {
	id        string
	status    int // 0 if there was no answer
	header    http.Header
	body      []byte
	complete  bool // the answer ended as the protocol marks its end
	firstByte time.Duration
	took      time.Duration
}

// send sends one request with an id of its own and reads the whole answer.
func (c *client) send(path string, deadline time.Duration, body []byte) answer {
	c.sent++
	a := answer{id: fmt.Sprintf("%s-%d", c.name, c.sent)}
	request, err := http.NewRequest(http.MethodPost, "http://"+c.fleet.frontAddress()+path, bytes.NewReader(body))
	if err != nil {
		return a
	}
	request.Host = hostName
	request.Header.Set("Request-Id", a.id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	began := time.Now()
	c.record.add("%s sends %s to %s, Deadline-Ms %d", c.name, a.id, path, deadline.Milliseconds())
	timeout := time.AfterFunc(deadline, c.http.CloseIdleConnections)
	defer timeout.Stop()
	c.http.Timeout = deadline
	response, err := c.http.Do(request)
	if err != nil {
		a.took = time.Since(began)
		c.record.add("%s: no answer to %s after %.3f s: %v", c.name, a.id, a.took.Seconds(), err)
		return a
	}
	a.status, a.header, a.firstByte = response.StatusCode, response.Header, time.Since(began)
	a.body, err = io.ReadAll(response.Body)
	response.Body.Close()
	a.complete, a.took = err == nil, time.Since(began)
	c.record.add("%s: %s gets %d, seal %q, %d bytes, complete %v, after %.3f s", c.name, a.id, a.status,
		a.header.Get("Response-Seal"), len(a.body), a.complete, a.took.Seconds())
	return a
}
