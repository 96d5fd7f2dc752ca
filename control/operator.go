package control

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"ivybank/control/store"
	"ivybank/internal/tcp"
)

const (
	pathReplace               = "/v1/Config.Replace"
	pathGet                   = "/v1/Config.Get"
	baseVersionHeader         = "Base-Version"
	maxConfigBytes            = 8 << 20 // leaves room in wire.MaxFrame for what the state adds to an entry
	maxConcurrentBodyReads    = 16      // request bodies that are read at the same time
	operatorHeaderTimeout     = 3 * time.Second
	operatorIdleTimeout       = 15 * time.Second
	operatorReadTimeout       = 10 * time.Second
	operatorRetryAfterSeconds = "0.2"
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
	node      *Node
	readSlots chan struct{} // holds one element for each body that is being read
}

func newOperatorHandler(n *Node) *operatorHandler {
	return &operatorHandler{node: n, readSlots: make(chan struct{}, maxConcurrentBodyReads)}
}

func (h *operatorHandler) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathReplace, func(w http.ResponseWriter, r *http.Request) {
		h.await(w, r, callReplace, h.replace)
	})
	mux.HandleFunc("GET "+pathGet, func(w http.ResponseWriter, r *http.Request) { h.await(w, r, callGet, h.get) })
	mux.HandleFunc("GET "+pathStatus, h.node.handleStatus)
	if len(h.node.parts) > 0 {
		(&applicationHandler{h.node}).register(mux)
	}
	server := &http.Server{Handler: h.node.countUnknownCalls(mux), ReadHeaderTimeout: operatorHeaderTimeout,
		IdleTimeout: operatorIdleTimeout, ReadTimeout: operatorReadTimeout}
	_ = server.Serve(tcp.RetryAccept(listener)) // runs until the process ends
}

// countUnknownCalls counts the requests without a matching route, which are answered 404 or 405.
func (n *Node) countUnknownCalls(mux *http.ServeMux) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, pattern := mux.Handler(r); pattern == "" {
			n.counters.unknownCalls.Inc()
		}
		mux.ServeHTTP(w, r)
	})
}

// await runs a handler and writes its response.
func (h *operatorHandler) await(w http.ResponseWriter, r *http.Request, call operatorCall,
	handle func(http.ResponseWriter, *http.Request, func(response))) {
	answer := make(chan response, 1)
	handle(w, r, func(resp response) { answer <- resp })
	select {
	case resp := <-answer:
		h.node.counters.countResponse(call, resp.status)
		writeResponse(w, resp)
	case <-r.Context().Done():
		panic(http.ErrAbortHandler) // returning without a response would make net/http send 200
	}
}

// replace reads a new configuration and submits it to the event loop. answer is called once.
func (h *operatorHandler) replace(w http.ResponseWriter, r *http.Request, answer func(response)) {
	base, err := strconv.ParseInt(r.Header.Get(baseVersionHeader), 10, 64)
	if err != nil {
		answer(errorResponse(http.StatusBadRequest, baseVersionHeader+" is missing or no number"))
		return
	}
	select {
	case h.readSlots <- struct{}{}:
		defer func() { <-h.readSlots }()
	default:
		answer(errorResponse(http.StatusServiceUnavailable, "too many orders under way"))
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBytes))
	if err != nil {
		answer(bodyReadError(err))
		return
	}
	p := &proposal{base: base, body: body, digest: store.DigestOf(base, body)}
	if c, err := h.node.validator.Parse(body); err != nil {
		p.invalid = err
	} else {
		p.revision = c.Revision
	}
	h.node.env.Do(func() { h.node.submitProposal(p, answer) })
}

func bodyReadError(err error) response {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errorResponse(http.StatusRequestEntityTooLarge, "configuration too large")
	}
	return errorResponse(http.StatusBadRequest, "body not read whole")
}

// get reads the configuration in the event loop. answer is called once.
func (h *operatorHandler) get(_ http.ResponseWriter, _ *http.Request, answer func(response)) {
	h.node.env.Do(func() { answer(h.node.readConfig()) })
}

func writeResponse(w http.ResponseWriter, resp response) {
	if resp.location != "" {
		w.Header().Set("Location", resp.location)
	}
	if resp.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", operatorRetryAfterSeconds)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(resp.status)
	_, _ = w.Write(resp.body) // a write error means that the client has disconnected
}
