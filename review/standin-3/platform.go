package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
)

// instance is an entry of the platform's list of hosts.
type instance struct {
	ID         string `json:"id"`
	Backend    string `json:"backend"`
	Address    string `json:"address"`
	Zone       string `json:"zone"`
	Revision   string `json:"revision"`
	Slots      int    `json:"slots"`
	State      string `json:"state"`
	ColdLeftMS int    `json:"cold_left_ms"`
}

// platform lists the hosts.
type platform struct {
	server *httptest.Server
	mu     sync.Mutex
	listed []instance
}

func newPlatform() *platform {
	p := &platform{}
	p.server = httptest.NewServer(http.HandlerFunc(p.list))
	return p
}

func (p *platform) address() string { return strings.TrimPrefix(p.server.URL, "http://") }

func (p *platform) add(i instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed = append(p.listed, i)
}

func (p *platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": p.listed, "next_token": nil})
}
