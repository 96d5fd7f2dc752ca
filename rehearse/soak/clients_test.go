package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"ivybank/config"
)

const (
	unsafePath     = "/unsafe/"
	idempotentPath = "/again/"
	streamPath     = "/stream/"

	clientDeadline   = 1500 * time.Millisecond
	clientTimeout    = 3 * time.Second
	clientsPerTenant = 8 // clients that each tenant runs
)

// tenant is a customer with its limit and its load.
type tenant struct {
	name       string
	unit       string
	rate       float64 // first limit, units per second
	demand     float64 // load that it sends, as a multiple of rate
	maxCost    float64 // cost of its largest request
	belowLimit bool    // it never sends more than its limit allows
}

func (t *tenant) key() string { return "key-" + t.name }

// drawCost returns a random cost for a request.
func (t *tenant) drawCost(random *rand.Rand) float64 {
	if t.unit != config.TokenUnit {
		return 1
	}
	return float64(1 + random.IntN(int(t.maxCost)))
}

// client sends requests of one tenant to one router over one connection, as long as the connection lasts.
type client struct {
	fleet  *fleet
	tenant *tenant
	random *rand.Rand
	number int
	sent   int
	http   *http.Client
	front  *machine
}

var requestsSent atomic.Int64

// run sends requests until the context ends.
func (c *client) run(ctx context.Context) {
	pace := float64(clientsPerTenant) / (c.tenant.demand * c.tenant.rate) // seconds per unit of cost
	for ctx.Err() == nil {
		cost := c.tenant.drawCost(c.random)
		began := time.Now()
		c.sendRequest(ctx, cost)
		wait := time.Duration(cost*pace*(0.5+c.random.Float64())*float64(time.Second)) - time.Since(began)
		select {
		case <-ctx.Done():
		case <-time.After(max(time.Millisecond, wait)):
		}
	}
	c.leave()
}

func (c *client) leave() {
	if c.http != nil {
		c.http.CloseIdleConnections()
		c.http = nil
	}
}

// sendRequest sends one request and records its outcome in the ledger.
func (c *client) sendRequest(ctx context.Context, cost float64) {
	if c.http == nil || c.front.removed {
		c.leave()
		c.front = c.fleet.randomFront(c.random)
		c.http = &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	}
	c.sent++
	path := []string{unsafePath, unsafePath, idempotentPath, streamPath}[c.random.IntN(4)]
	r := &request{id: fmt.Sprintf("%s-%d-%d", c.tenant.name, c.number, c.sent), tenant: c.tenant, cost: cost, path: path, sent: time.Now(),
		router: c.front.processes[routerRole]}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addressOf(c.front.number, servicePort)+path, strings.NewReader("body"))
	if err != nil {
		panic(err)
	}
	q.Host = "soak.example"
	q.Header.Set("Request-Id", r.id)
	q.Header.Set("Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	q.Header.Set("Authorization", "Bearer "+c.tenant.key())
	if c.tenant.unit == config.TokenUnit {
		q.Header.Set("Token-Usage", fmt.Sprintf("%d,%d", int(cost)/2, int(cost)-int(cost)/2))
	}
	c.fleet.ledger.send(r)
	requestsSent.Add(1)
	answer, err := c.http.Do(q)
	if err != nil {
		if ctx.Err() == nil {
			c.fleet.ledger.finish(r, 0, false)
		}
		c.leave()
		return
	}
	_, err = io.Copy(io.Discard, answer.Body)
	answer.Body.Close()
	c.fleet.ledger.finish(r, answer.StatusCode, err == nil)
	if err != nil {
		c.leave()
	}
}
