package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// instance is one entry of the platform's list.
type instance struct {
	ID         string  `json:"id"`
	Backend    string  `json:"backend"`
	Address    string  `json:"address"`
	Zone       string  `json:"zone"`
	Revision   string  `json:"revision"`
	Slots      int     `json:"slots"`
	State      string  `json:"state"`
	ColdLeftMS float64 `json:"cold_left_ms"`
}

// platform serves the list of hosts, in one page.
type platform struct {
	server  *http.Server
	address string
	mu      sync.Mutex
	list    []instance
	calls   int
}

func startPlatform(list ...instance) (*platform, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{address: listener.Addr().String(), list: list}
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

func (p *platform) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	p.calls++
	body, err := json.Marshal(map[string]any{"instances": p.list, "next_token": nil})
	p.mu.Unlock()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// run is one run of a request at a host.
type run struct {
	host, request string
	at            time.Time
}

// runs collects the runs at all hosts. It is safe for concurrent use.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(host, request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, run{host, request, time.Now()})
}

func (r *runs) list() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run{}, r.all...)
}

// host answers each request after a short time, as a host of an application service does.
type host struct {
	id      string
	work    time.Duration
	runs    *runs
	server  *http.Server
	address string
}

func startHost(id string, work time.Duration, runs *runs) (*host, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &host{id: id, work: work, runs: runs, address: listener.Addr().String()}
	h.server = &http.Server{Handler: h}
	go func() { _ = h.server.Serve(listener) }()
	return h, nil
}

func (h *host) entry(service, state string) instance {
	return instance{ID: h.id, Backend: service, Address: h.address, Zone: "zone0", Revision: "v1", Slots: 64, State: state}
}

func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != h.id {
		w.Header().Set("Instance-Id", h.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the request did not arrive whole
	}
	h.runs.add(h.id, id)
	time.Sleep(h.work)
	body := "answer to " + id
	w.Header().Set("Response-Seal", h.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
}

// try is one request of a client.
type try struct {
	id     string
	sent   time.Time
	status int // 0 without an answer
}

// client sends requests to the front machine over connections that it keeps.
type client struct {
	address string
	http    *http.Client
	mu      sync.Mutex
	tries   []*try
	pending sync.WaitGroup
}

func newClient(address string) *client {
	return &client{address: address, http: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64,
		IdleConnTimeout: 10 * time.Second, DisableCompression: true}}}
}

// request returns a request of the client.
func (c *client) request(id, path, key string, header map[string]string) (*http.Request, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+c.address+path, strings.NewReader("body of "+id))
	if err != nil {
		return nil, err
	}
	request.Host = "review.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Authorization", "Bearer "+key)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	return request, nil
}

// load sends requests at a steady rate until stop is closed. They aren't sent again.
func (c *client) load(r *record, path, key string, header map[string]string, interval time.Duration, stop <-chan struct{}) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for number := 1; ; number++ {
		select {
		case <-stop:
			c.pending.Wait()
			return
		case <-ticker.C:
		}
		c.pending.Go(func() { c.send(r, fmt.Sprintf("request-%05d", number), path, key, header) })
	}
}

func (c *client) send(r *record, id, path, key string, header map[string]string) {
	t := &try{id: id, sent: time.Now()}
	if request, err := c.request(id, path, key, header); err == nil {
		if answer, err := c.http.Do(request); err == nil {
			t.status = answer.StatusCode
			_, _ = io.Copy(io.Discard, answer.Body)
			answer.Body.Close()
		}
	}
	r.printf("%s sent at %.3f, answered %d", id, r.seconds(t.sent), t.status)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tries = append(c.tries, t)
}

// sentAt returns when each request was sent.
func (c *client) sentAt() map[string]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := map[string]time.Time{}
	for _, t := range c.tries {
		sent[t.id] = t.sent
	}
	return sent
}

// statuses counts the answers by status.
func (c *client) statuses() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[int]int{}
	for _, t := range c.tries {
		counts[t.status]++
	}
	return counts
}
