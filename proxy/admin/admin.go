// Package admin serves operators' HTTP/1.1 calls to a running proxy at an address of their own, the "door" of the
// command line. It bounds how long a caller may take and how many connections are open. It must never access the
// proxy's tables, decide what a call does, or let one caller delay another.
package admin

import (
	"io"
	"log"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	readTimeout    = 2 * time.Second // a request has to arrive within this time
	maxConns       = 16              // above it the oldest connection is closed
	maxHeaderBytes = 8 << 10
	maxPlanBytes   = 64 << 10
)

// Kind is the kind of a call.
type Kind int

// The kinds of calls.
const (
	Health       Kind = iota // does this process accept clients?
	DisableHost              // take a host out of use
	EnableHost               // put a host back into use
	EvictClients             // send the clients away
	AdmitClients             // accept clients again
	GetFleet                 // status of the peers, as JSON
	GetPlans                 // status of one or all maintenance plans, as JSON
	ChangePlan               // submit or change a plan
	GetRecovery              // status of recovery: what was restored, and whether service is full, as JSON
)

// Call is one call of an operator.
type Call struct {
	Kind Kind
	Host string // for a call on a host, its ID; for a plan, the server whose work is done
	Plan string // ID of the plan; empty: all
	Verb string // what to do with a plan: submit, pause, resume, abandon or done
	Body []byte // the plan to submit
}

// Reply is the reply to a call: success if the status is 2xx.
type Reply struct {
	Status int
	Text   string
}

// OK returns a reply with status 200.
func OK(text string) Reply { return Reply{http.StatusOK, text} }

// Error returns an error reply with its reason.
func Error(status int, text string) Reply { return Reply{status, text} }

// Parse returns the call that a method and an escaped path stand for, or a non-zero error reply.
func Parse(method, path string) (Call, Reply) {
	kinds := map[string]Call{}
	parts := strings.Split(strings.TrimPrefix(path, "/"), "/")
	switch {
	case path == "/fleet":
		kinds[http.MethodGet] = Call{Kind: GetFleet}
	case path == "/return":
		kinds[http.MethodGet] = Call{Kind: GetRecovery}
	case path == "/plans" || len(parts) == 2 && parts[0] == "plans" && parts[1] != "":
		id := strings.Join(parts[1:], "")
		if kinds[http.MethodGet] = (Call{Kind: GetPlans, Plan: id}); id != "" {
			kinds[http.MethodPut] = Call{Kind: ChangePlan, Plan: id, Verb: "submit"}
		}
	case len(parts) == 3 && parts[0] == "plans" && slices.Contains([]string{"pause", "resume", "abandon"}, parts[2]):
		kinds[http.MethodPut] = Call{Kind: ChangePlan, Plan: parts[1], Verb: parts[2]}
	case len(parts) == 4 && parts[0] == "plans" && parts[2] == "done":
		kinds[http.MethodPut] = Call{Kind: ChangePlan, Plan: parts[1], Verb: parts[2], Host: parts[3]}
	case path == "/healthcheck":
		kinds[http.MethodGet] = Call{Kind: Health}
	case path == "/healthcheck/fail":
		kinds[http.MethodPut] = Call{Kind: EvictClients}
	case path == "/healthcheck/ok":
		kinds[http.MethodPut] = Call{Kind: AdmitClients}
	case len(parts) == 3 && parts[0] == "hosts" && parts[1] != "" && (parts[2] == "maint" || parts[2] == "ready"):
		id, err := url.PathUnescape(parts[1])
		if err != nil {
			return Call{}, Error(http.StatusBadRequest, "the host's id cannot be read")
		}
		kind := DisableHost
		if parts[2] == "ready" {
			kind = EnableHost
		}
		kinds[http.MethodPut] = Call{Kind: kind, Host: id}
	default:
		return Call{}, Error(http.StatusNotFound, "no such call")
	}
	call, ok := kinds[method]
	if !ok {
		return Call{}, Error(http.StatusMethodNotAllowed, "no such call with this method")
	}
	return call, Reply{}
}

// Server is a running admin server.
type Server struct {
	listener net.Listener
	server   *http.Server
	handle   func(Call) Reply

	mu    sync.Mutex
	conns []net.Conn // oldest first; removed as they are closed
}

// Listen starts a server at an address. It passes each call to handle, which has to return soon.
func Listen(addr string, handle func(Call) Reply) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	srv := &Server{listener: l, handle: handle}
	srv.server = &http.Server{Handler: srv, ReadTimeout: readTimeout, WriteTimeout: readTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ConnState:      srv.connState, ErrorLog: log.New(io.Discard, "", 0)}
	srv.server.SetKeepAlivesEnabled(false)
	go func() { _ = srv.server.Serve(l) }()
	return srv, nil
}

// Addr returns the address that the server listens on.
func (srv *Server) Addr() string { return srv.listener.Addr().String() }

// Close stops listening and closes all connections.
func (srv *Server) Close() { _ = srv.server.Close() }

// connState tracks the open connections. Above maxConns it closes the oldest, most likely a stalled one.
func (srv *Server) connState(c net.Conn, state http.ConnState) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	switch state {
	case http.StateNew:
		if srv.conns = append(srv.conns, c); len(srv.conns) > maxConns {
			_ = srv.conns[0].Close()
			srv.conns = srv.conns[1:]
		}
	case http.StateClosed, http.StateHijacked:
		srv.conns = slices.DeleteFunc(srv.conns, func(x net.Conn) bool { return x == c })
	}
}

func (srv *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call, reply := Parse(r.Method, r.URL.EscapedPath())
	if call.Verb == "submit" {
		var err error
		if call.Body, err = io.ReadAll(io.LimitReader(r.Body, maxPlanBytes+1)); err != nil ||
			len(call.Body) > maxPlanBytes {
			reply = Error(http.StatusRequestEntityTooLarge, "a plan is no longer than 64 KiB")
		}
	}
	if reply.Status == 0 {
		reply = srv.handle(call)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(reply.Status)
	_, _ = io.WriteString(w, reply.Text+"\n")
}
