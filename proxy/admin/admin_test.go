package admin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestParse(t *testing.T) {
	for _, c := range []struct {
		method, path string
		call         Call
		status       int // 0: a valid call
	}{
		{"GET", "/healthcheck", Call{Kind: Health}, 0},
		{"PUT", "/healthcheck/fail", Call{Kind: EvictClients}, 0},
		{"PUT", "/healthcheck/ok", Call{Kind: AdmitClients}, 0},
		{"PUT", "/hosts/s-1/maint", Call{Kind: DisableHost, Host: "s-1"}, 0},
		{"PUT", "/hosts/s-1/ready", Call{Kind: EnableHost, Host: "s-1"}, 0},
		{"PUT", "/hosts/a%2Fb/ready", Call{Kind: EnableHost, Host: "a/b"}, 0},
		{"GET", "/plans", Call{Kind: GetPlans}, 0},
		{"GET", "/plans/p", Call{Kind: GetPlans, Plan: "p"}, 0},
		{"PUT", "/plans/p", Call{Kind: ChangePlan, Plan: "p", Verb: "submit"}, 0},
		{"PUT", "/plans/p/pause", Call{Kind: ChangePlan, Plan: "p", Verb: "pause"}, 0},
		{"PUT", "/plans/p/done/s-1", Call{Kind: ChangePlan, Plan: "p", Verb: "done", Host: "s-1"}, 0},
		{"PUT", "/plans", Call{}, 405},
		{"PUT", "/plans/p/burn", Call{}, 404},
		{"PUT", "/hosts/%zz/ready", Call{}, 400},
		{"PUT", "/hosts//ready", Call{}, 404},
		{"PUT", "/hosts/s-1", Call{}, 404},
		{"PUT", "/hosts/s-1/gone", Call{}, 404},
		{"PUT", "/hosts/s-1/maint/", Call{}, 404},
		{"GET", "/", Call{}, 404},
		{"GET", "/healthcheck/", Call{}, 404},
		{"PUT", "/healthcheck", Call{}, 405},
		{"GET", "/healthcheck/fail", Call{}, 405},
		{"POST", "/hosts/s-1/maint", Call{}, 405},
	} {
		t.Run(c.method+" "+c.path, func(t *testing.T) {
			call, reply := Parse(c.method, c.path)
			if reply.Status != c.status || reply.Status == 0 && !reflect.DeepEqual(call, c.call) {
				t.Errorf("got %+v, %+v, want %+v, %d", call, reply, c.call, c.status)
			}
		})
	}
}

func startServer(t *testing.T, handle func(Call) Reply) *Server {
	t.Helper()
	srv, err := Listen("127.0.0.1:0", handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(srv.Close)
	return srv
}

func send(t *testing.T, srv *Server, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", srv.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(c, text)
	return c, bufio.NewReader(c)
}

func TestServer(t *testing.T) {
	srv := startServer(t, func(c Call) Reply {
		if c.Host == "none" {
			return Error(404, "not listed")
		}
		return OK(fmt.Sprint(c.Kind))
	})
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"yes":           {"GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n", 200},
		"no host field": {"GET /healthcheck HTTP/1.1\r\n\r\n", 400},
		"no":            {"PUT /hosts/none/maint HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 404},
		"unknown path":  {"PUT /hosts//../x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 404},
		"other method":  {"DELETE /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n", 405},
		"no request":    {"hello\r\n\r\n", 400},
		"endless head":  {"GET /healthcheck HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", 431},
		"with a body":   {"PUT /hosts/s/maint HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc", 200},
	} {
		t.Run(name, func(t *testing.T) {
			_, in := send(t, srv, c.text)
			r, err := http.ReadResponse(in, nil)
			if err != nil || r.StatusCode != c.status {
				t.Fatalf("got %v, %v, want %d", r, err, c.status)
			}
			if !r.Close {
				t.Error("the connection stays open, want one call per connection")
			}
		})
	}
}

// Stalled callers must not keep others out, however many there are: the oldest connection is closed.
func TestStalledCallers(t *testing.T) {
	srv := startServer(t, func(Call) Reply { return OK("") })
	first, _ := send(t, srv, "PUT /hosts/s")
	for range 3 * maxConns {
		send(t, srv, "GET /heal")
	}
	_, in := send(t, srv, "GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n")
	if r, err := http.ReadResponse(in, nil); err != nil || r.StatusCode != 200 {
		t.Fatalf("got %v, %v beside stalled callers, want status 200", r, err)
	}
	if _, err := first.Read(make([]byte, 1)); err == nil {
		t.Error("got a response to a partial request, want its connection closed")
	}
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if len(srv.conns) > maxConns {
		t.Errorf("got %d connections, want %d at most", len(srv.conns), maxConns)
	}
}
