// Package door is where operators speak to a running proxy: a few HTTP/1.1 calls at an address of their own. It
// owns that address, how long a caller may take and how many may stand there. It must never touch the proxy's
// tables, decide what a call does, or let one caller hold up another.
package door

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
	readWait = 2 * time.Second // a whole call has to come within it
	mostOpen = 16              // past so many connections the one that has stalled longest goes
	mostHead = 8 << 10
	mostBody = 64 << 10
)

// Kind is what a call asks.
type Kind int

// The calls.
const (
	Health Kind = iota // does this process take clients?
	Out                // nothing more to a host
	Back               // the host is put back
	Empty              // send the clients away
	Refill             // take clients again
	Fleet              // what this process makes of its peers, as JSON
	Plans              // what plans there are, or one of them, as JSON
	Plan               // a plan is handed in, or something is to become of one
	Return             // what it came back with, and whether its service is full, as JSON
)

// Call is one call of an operator.
type Call struct {
	Kind Kind
	Host string // Out and Back; of a plan the server whose work is done
	Plan string // its id; empty: all
	Verb string // of a plan: submit, pause, resume, abandon or done
	Body []byte // submit
}

// Reply is what the caller is told: 2xx is yes, all else no.
type Reply struct {
	Status int
	Text   string
}

// Yes and No are the usual replies.
func Yes(text string) Reply { return Reply{http.StatusOK, text} }

// No is a refusal with its reason.
func No(status int, text string) Reply { return Reply{status, text} }

// Read finds out which call a method and an escaped path make; a reply other than zero turns it away.
func Read(method, path string) (Call, Reply) {
	kinds := map[string]Call{}
	part := strings.Split(strings.TrimPrefix(path, "/"), "/")
	switch {
	case path == "/fleet":
		kinds[http.MethodGet] = Call{Kind: Fleet}
	case path == "/return":
		kinds[http.MethodGet] = Call{Kind: Return}
	case path == "/plans" || len(part) == 2 && part[0] == "plans" && part[1] != "":
		id := strings.Join(part[1:], "")
		if kinds[http.MethodGet] = (Call{Kind: Plans, Plan: id}); id != "" {
			kinds[http.MethodPut] = Call{Kind: Plan, Plan: id, Verb: "submit"}
		}
	case len(part) == 3 && part[0] == "plans" && slices.Contains([]string{"pause", "resume", "abandon"}, part[2]):
		kinds[http.MethodPut] = Call{Kind: Plan, Plan: part[1], Verb: part[2]}
	case len(part) == 4 && part[0] == "plans" && part[2] == "done":
		kinds[http.MethodPut] = Call{Kind: Plan, Plan: part[1], Verb: part[2], Host: part[3]}
	case path == "/healthcheck":
		kinds[http.MethodGet] = Call{Kind: Health}
	case path == "/healthcheck/fail":
		kinds[http.MethodPut] = Call{Kind: Empty}
	case path == "/healthcheck/ok":
		kinds[http.MethodPut] = Call{Kind: Refill}
	case len(part) == 3 && part[0] == "hosts" && part[1] != "" && (part[2] == "maint" || part[2] == "ready"):
		id, err := url.PathUnescape(part[1])
		if err != nil {
			return Call{}, No(http.StatusBadRequest, "the host's id cannot be read")
		}
		kind := Out
		if part[2] == "ready" {
			kind = Back
		}
		kinds[http.MethodPut] = Call{Kind: kind, Host: id}
	default:
		return Call{}, No(http.StatusNotFound, "no such call")
	}
	call, ok := kinds[method]
	if !ok {
		return Call{}, No(http.StatusMethodNotAllowed, "no such call with this method")
	}
	return call, Reply{}
}

// Door is an open door.
type Door struct {
	listener net.Listener
	server   *http.Server
	ask      func(Call) Reply

	mu   sync.Mutex
	open []net.Conn // oldest first; emptied as they end
}

// Open listens at an address and puts each call to ask, which has to come back soon.
func Open(addr string, ask func(Call) Reply) (*Door, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	d := &Door{listener: l, ask: ask}
	d.server = &http.Server{Handler: d, ReadTimeout: readWait, WriteTimeout: readWait, MaxHeaderBytes: mostHead,
		ConnState: d.state, ErrorLog: log.New(io.Discard, "", 0)}
	d.server.SetKeepAlivesEnabled(false)
	go func() { _ = d.server.Serve(l) }()
	return d, nil
}

// Addr is where the door listens.
func (d *Door) Addr() string { return d.listener.Addr().String() }

// Close shuts the door.
func (d *Door) Close() { _ = d.server.Close() }

// state keeps who stands at the door. One that has stalled makes room for one that comes.
func (d *Door) state(c net.Conn, s http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch s {
	case http.StateNew:
		if d.open = append(d.open, c); len(d.open) > mostOpen {
			_ = d.open[0].Close()
			d.open = d.open[1:]
		}
	case http.StateClosed, http.StateHijacked:
		d.open = slices.DeleteFunc(d.open, func(x net.Conn) bool { return x == c })
	}
}

func (d *Door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call, reply := Read(r.Method, r.URL.EscapedPath())
	if call.Verb == "submit" {
		var err error
		if call.Body, err = io.ReadAll(io.LimitReader(r.Body, mostBody+1)); err != nil || len(call.Body) > mostBody {
			reply = No(http.StatusRequestEntityTooLarge, "a plan is no longer than 64 KiB")
		}
	}
	if reply.Status == 0 {
		reply = d.ask(call)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(reply.Status)
	_, _ = io.WriteString(w, reply.Text+"\n")
}
