package control

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"ivybank/control/store"
)

const (
	pathReplace      = "/v1/Config.Replace"
	pathGet          = "/v1/Config.Get"
	baseHeader       = "Base-Version"
	maxOrderBytes    = 8 << 20 // leaves room in wire.MaxFrame for what the state adds to an entry
	maxOrdersRead    = 16      // request bodies that are read at the same time
	operatorHeaders  = 3 * time.Second
	operatorIdle     = 15 * time.Second
	operatorRead     = 10 * time.Second
	retryAfterSecond = "0.2"
)

// operatorCall is the label of a kind of call in the metrics.
type operatorCall string

// The operators' calls.
const (
	callReplace operatorCall = "replace"
	callGet     operatorCall = "get"
)

// operatorHandler serves the operators' calls of a node. It is safe for concurrent use.
type operatorHandler struct {
	node    *Node
	reading chan struct{} // holds one element for each body that is being read
}

func newOperatorHandler(n *Node) *operatorHandler {
	return &operatorHandler{node: n, reading: make(chan struct{}, maxOrdersRead)}
}

func (h *operatorHandler) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathReplace, func(w http.ResponseWriter, r *http.Request) { h.await(w, r, callReplace, h.replace) })
	mux.HandleFunc("GET "+pathGet, func(w http.ResponseWriter, r *http.Request) { h.await(w, r, callGet, h.get) })
	mux.HandleFunc("GET "+pathStatus, h.node.handleStatus)
	if len(h.node.parts) > 0 {
		(&applicationHandler{h.node}).register(mux)
	}
	server := &http.Server{Handler: h.node.countUnknown(mux), ReadHeaderTimeout: operatorHeaders, IdleTimeout: operatorIdle, ReadTimeout: operatorRead}
	_ = server.Serve(listener) // runs until the process ends
}

// countUnknownCalls counts the requests without a matching route, which are answered 404 or 405.
func (n *Node) countUnknown(mux *http.ServeMux) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, pattern := mux.Handler(r); pattern == "" {
			n.counts.unknownCalls.Inc()
		}
		mux.ServeHTTP(w, r)
	})
}

// await runs a handler and writes its response.
func (h *operatorHandler) await(w http.ResponseWriter, r *http.Request, call operatorCall,
	carryOut func(http.ResponseWriter, *http.Request, func(verdict))) {
	answer := make(chan verdict, 1)
	carryOut(w, r, func(v verdict) { answer <- v })
	select {
	case v := <-answer:
		h.node.counts.answered(call, v.status)
		writeVerdict(w, v)
	case <-r.Context().Done():
		panic(http.ErrAbortHandler) // returning without a response would make net/http send 200
	}
}

// replace reads a new configuration and submits it to the event loop. answer is called once.
func (h *operatorHandler) replace(w http.ResponseWriter, r *http.Request, answer func(verdict)) {
	base, err := strconv.ParseInt(r.Header.Get(baseHeader), 10, 64)
	if err != nil {
		answer(problem(http.StatusBadRequest, baseHeader+" is missing or no number"))
		return
	}
	select {
	case h.reading <- struct{}{}:
		defer func() { <-h.reading }()
	default:
		answer(problem(http.StatusServiceUnavailable, "too many orders under way"))
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOrderBytes))
	if err != nil {
		answer(unreadable(err))
		return
	}
	p := &proposal{base: base, body: body, digest: store.DigestOf(base, body)}
	if c, err := h.node.validator.Parse(body); err != nil {
		p.invalid = err
	} else {
		p.revision = c.Revision
	}
	h.node.env.Do(func() { h.node.takeOrder(p, answer) })
}

func unreadable(err error) verdict {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return problem(http.StatusRequestEntityTooLarge, "configuration too large")
	}
	return problem(http.StatusBadRequest, "body not read whole")
}

// get reads the configuration in the event loop. answer is called once.
func (h *operatorHandler) get(_ http.ResponseWriter, _ *http.Request, answer func(verdict)) {
	h.node.env.Do(func() { answer(h.node.readConfig()) })
}

func writeVerdict(w http.ResponseWriter, v verdict) {
	if v.location != "" {
		w.Header().Set("Location", v.location)
	}
	if v.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSecond)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(v.status)
	_, _ = w.Write(v.body) // a write error means that the client has disconnected
}
