package soak

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"ivybank/rehearse/system"
)

// usage is one execution of a request at a host.
type usage struct {
	at   time.Time
	cost float64
}

// request is a request that a client sent, with its outcome.
type request struct {
	id       string
	tenant   *tenant
	cost     float64
	path     string
	sent     time.Time
	ended    time.Time
	status   int  // 0 if the connection ended without an answer
	complete bool // the whole answer was read
	router   *process
	runCount int
	aborted  bool // a host aborted the answer
}

// ledger records the requests that clients sent and hosts ran. It is safe for concurrent use.
type ledger struct {
	mu         sync.Mutex
	requests   map[string]*request
	uses       map[*tenant][]usage
	unexpected []string // requests that hosts ran though no client sent them, or not for that tenant
}

func newLedger() *ledger {
	return &ledger{requests: map[string]*request{}, uses: map[*tenant][]usage{}}
}

func (l *ledger) send(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[r.id] = r
}

func (l *ledger) finish(r *request, status int, complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ended, r.status, r.complete = time.Now(), status, complete
}

// run records an execution of a request at the time at which it arrived at the host. It returns nil for an unexpected
// request.
func (l *ledger) run(id, tenant string, at time.Time) *request {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil || r.tenant.name != tenant {
		l.unexpected = append(l.unexpected, id+" of "+tenant)
		return nil
	}
	r.runCount++
	l.uses[r.tenant] = append(l.uses[r.tenant], usage{at, r.cost})
	return r
}

func (l *ledger) markAborted(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.aborted = true
}

// Behaviour of the hosts. The first two are the numbers of requests in 1000 that hosts reject, or run and abort.
const (
	rejectedPerMille = 20
	abortedPerMille  = 5
	maxWorkTime      = 60 * time.Millisecond
	events           = 3
	service          = "model"
)

// host simulates one host of the service.
type host struct {
	id       string
	ledger   *ledger
	server   *http.Server
	instance system.Instance
}

func (h *host) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	arrived := time.Now()
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if target := q.Header.Get("Target-Instance"); target != "" && target != h.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	chance := rand.IntN(1000)
	if chance < rejectedPerMille {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r := h.ledger.run(id, q.Header.Get("Tenant"), arrived)
	time.Sleep(rand.N(maxWorkTime))
	w.Header().Set("Response-Seal", system.ResponseSeal(h.id, id))
	broken := chance < rejectedPerMille+abortedPerMille
	if broken && r != nil {
		h.ledger.markAborted(r)
	}
	if strings.HasPrefix(q.URL.Path, streamPath) {
		h.stream(w, broken)
		return
	}
	if broken {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write([]byte("answer to " + id))
}

func (h *host) stream(w http.ResponseWriter, broken bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range events {
		if broken && i == 1 {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte("id: " + string(rune('1'+i)) + "\ndata: event\n\n"))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(time.Millisecond)
	}
}
