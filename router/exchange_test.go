package router

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ivybank/control/hostlist"
	"ivybank/settings"
	"ivybank/wire"
)

// Tests of responses that are missing, incomplete, late, surplus or meant for another request, on connections that
// are reused. Each case counts how often a fake host ran the request and how many connections it accepted.

// hostRequest is one request on one connection of a fake host.
type hostRequest struct {
	conn     *net.TCPConn
	request  *http.Request
	body     []byte
	position int    // position of the request on its connection, from 1
	previous string // ID of the previous request on the connection
	host     *fakeHost
}

func (q *hostRequest) id() string { return q.request.Header.Get("Request-Id") }

func (q *hostRequest) write(text string) { _, _ = q.conn.Write([]byte(text)) }

// responseTo is a complete response to a request; its body names the request.
func responseTo(id string) string {
	body := "answer to " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func (q *hostRequest) reset() {
	_ = q.conn.SetLinger(0)
	_ = q.conn.Close()
}

// headerAction is how a fake host continues once it has read the header of a request.
type headerAction int

const (
	readBody        headerAction = iota // read the body and handle the request
	readNextRequest                     // the request and its body have been dealt with; read the next request
	closeConnection                     // the request has been dealt with; close the connection
)

// fakeHost is a host that works on plain TCP sockets. handle is called with each request that was read completely; if
// it reports false, the connection is closed.
type fakeHost struct {
	id       string
	listener net.Listener
	handle   func(*hostRequest) bool
	onHeader func(*hostRequest) headerAction // called once the header was read; may be nil
	// readsFast leaves the receive buffer of connections at its default size, so that long requests arrive quickly.
	readsFast atomic.Bool

	mu          sync.Mutex
	runs        map[string]int
	connections int
	closed      chan struct{} // receives one value per connection that the router closed
}

func newFakeHost(t *testing.T, id string, handle func(*hostRequest) bool) *fakeHost {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	h := &fakeHost{id: id, listener: listener, handle: handle, runs: map[string]int{}, closed: make(chan struct{}, 64)}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			h.connections++
			h.mu.Unlock()
			if !h.readsFast.Load() {
				_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10) // unread data stays with the sender
			}
			go h.serve(conn.(*net.TCPConn))
		}
	}()
	return h
}

func (h *fakeHost) serve(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	previous := ""
	for position := 1; ; position++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			h.closed <- struct{}{}
			return
		}
		current := &hostRequest{conn: conn, request: request, position: position, previous: previous, host: h}
		previous = current.id()
		if h.onHeader != nil {
			switch h.onHeader(current) {
			case readNextRequest:
				continue
			case closeConnection:
				return
			}
		}
		if current.body, err = io.ReadAll(request.Body); err != nil {
			return
		}
		h.mu.Lock()
		h.runs[current.id()]++
		h.mu.Unlock()
		if !h.handle(current) {
			return
		}
	}
}

func (h *fakeHost) runCount(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs[id]
}

func (h *fakeHost) requestCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, runs := range h.runs {
		count += runs
	}
	return count
}

func (h *fakeHost) connectionCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.connections
}

func respondOK(q *hostRequest) bool {
	q.write(responseTo(q.id()))
	return true
}

const testConfig = `{"revision":1,"services":[{"name":"s"}],"limits":{},"routes":[
{"name":"u","hostname":"a.example","path_prefix":"/unsafe/","route_type":"unsafe","timeout_ms":1500,"target_ms":400,"backend":"s","max_attempts":3,"public":true},
{"name":"i","hostname":"a.example","path_prefix":"/idempotent/","route_type":"idempotent","timeout_ms":1500,"target_ms":400,"backend":"s","max_attempts":3,"public":true},
{"name":"r","hostname":"a.example","path_prefix":"/stream/","route_type":"streaming","timeout_ms":4000,"target_ms":400,"gap_aim_ms":100,"backend":"s","max_attempts":3,"public":true,"resumable":true}]}`

// initialRequests earn the retry budget that the tests need.
const initialRequests = 200

// newTestRouter starts a router for the hosts, without an agent.
func newTestRouter(t *testing.T, hosts ...*fakeHost) (*Router, *httptest.Server) {
	t.Helper()
	s := &settings.Settings{NodeName: "n", IP: "127.0.0.1", Bounds: settings.Bounds{RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 50}}
	r := New(s, hclog.NewNullLogger())
	r.applyConfig(&wire.Config{Revision: 1, Body: wire.Deflate([]byte(testConfig))})
	hostList := &wire.Hosts{Shard: hostlist.ShardOf("s"), At: wire.HostsOffset{Term: 1, Offset: 1}, Full: true}
	for _, h := range hosts {
		hostList.Updated = append(hostList.Updated, wire.Host{ID: h.id, Service: "s", Address: h.listener.Addr().String(), Slots: 8})
	}
	r.applyHosts(hostList)
	for range initialRequests {
		r.retries.addRequest("s")
	}
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	return r, server
}

type clientResult struct {
	status int
	body   string
	broken bool // the connection ended without a complete response
}

func post(t *testing.T, ctx context.Context, server *httptest.Server, path, id string, body []byte) clientResult {
	t.Helper()
	return postWith(t, ctx, server, path, id, body, nil)
}

// postWith posts a request with additional headers.
func postWith(t *testing.T, ctx context.Context, server *httptest.Server, path, id string, body []byte, headers map[string]string) clientResult {
	t.Helper()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+path, bytes.NewReader(body))
	assert.NilError(t, err)
	q.Host = "a.example"
	q.Header.Set("Request-Id", id)
	for name, value := range headers {
		q.Header.Set(name, value)
	}
	response, err := server.Client().Do(q)
	if err != nil {
		return clientResult{broken: true}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return clientResult{status: response.StatusCode, body: string(text), broken: err != nil}
}

// TestHostErrors checks, for each way in which an exchange can fail, what the client gets and how often the request
// ran: a request that must not be repeated runs at most once, whatever happens, and one that may be repeated is
// served by another host.
func TestHostErrors(t *testing.T) {
	foreign := responseTo("another")
	for name, bad := range map[string]func(*hostRequest) bool{
		"no response":              func(*hostRequest) bool { return false },
		"reset before a byte":      func(q *hostRequest) bool { q.reset(); return false },
		"reset within the header":  func(q *hostRequest) bool { q.write("HTTP/1.1 200 OK\r\nRequ"); q.reset(); return false },
		"closed within the header": func(q *hostRequest) bool { q.write("HTTP/1.1 200 OK\r\nRequest-Id: "); return false },
		"closed within the body":   func(q *hostRequest) bool { q.write(responseTo(q.id())[:80]); return false },
		"chunks that end too soon": func(q *hostRequest) bool {
			q.write("HTTP/1.1 200 OK\r\nRequest-Id: " + q.id() + "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
			return false
		},
		"unframed and reset": func(q *hostRequest) bool {
			q.write("HTTP/1.1 200 OK\r\nRequest-Id: " + q.id() + "\r\n\r\nhalf")
			time.Sleep(30 * time.Millisecond)
			q.reset()
			return false
		},
		"not a response": func(q *hostRequest) bool { q.write("these bytes form no answer\r\n\r\n"); return true },
		"two lengths": func(q *hostRequest) bool {
			q.write("HTTP/1.1 200 OK\r\nRequest-Id: " + q.id() + "\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nabcd")
			return true
		},
		"a header without an end": func(q *hostRequest) bool {
			q.write("HTTP/1.1 200 OK\r\nRequest-Id: " + q.id() + "\r\nX: " + strings.Repeat("bytes", 200<<10))
			return true
		},
		"without a request id": func(q *hostRequest) bool { q.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); return true },
		"refused without an id": func(q *hostRequest) bool {
			q.write("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		},
		"response to another request": func(q *hostRequest) bool { q.write(foreign + responseTo(q.id())); return true },
		"unframed response to another request": func(q *hostRequest) bool {
			q.write("HTTP/1.1 200 OK\r\nRequest-Id: another\r\n\r\nbytes")
			return false
		},
		"another protocol": func(q *hostRequest) bool {
			q.write("HTTP/1.1 101 Switching Protocols\r\nRequest-Id: " + q.id() + "\r\nUpgrade: x\r\n\r\n")
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := newFakeHost(t, "h1", bad), newFakeHost(t, "h2", bad)
			_, server := newTestRouter(t, first, second)
			got := post(t, t.Context(), server, "/unsafe/x", "u1", []byte("body"))
			assert.Equal(t, got.status, http.StatusBadGateway, "the request may have run")
			assert.Equal(t, first.runCount("u1")+second.runCount("u1"), 1)
			assert.Assert(t, !strings.Contains(got.body, "bytes"))

			broken := newFakeHost(t, "h1", bad)
			healthy := newFakeHost(t, "h2", respondOK)
			_, server = newTestRouter(t, broken, healthy)
			for i := range 4 { // the healthy host may be tried first by chance
				id := fmt.Sprint("i", i)
				got := post(t, t.Context(), server, "/idempotent/x", id, []byte("body"))
				assert.Equal(t, got, clientResult{status: http.StatusOK, body: "answer to " + id})
				assert.Equal(t, healthy.runCount(id), 1)
				assert.Assert(t, broken.runCount(id) <= 1)
			}
		})
	}
}

// TestSurplusResponses has hosts send more than was requested. No client may get the surplus, and a connection that
// carried it must not be reused.
func TestSurplusResponses(t *testing.T) {
	for name, handle := range map[string]func(*hostRequest) bool{
		"immediately": func(q *hostRequest) bool { q.write(responseTo(q.id()) + responseTo(q.id())); return true },
		"while idle": func(q *hostRequest) bool {
			q.write(responseTo(q.id()))
			time.Sleep(20 * time.Millisecond)
			q.write(responseTo(q.id()))
			return true
		},
		"before the next response": func(q *hostRequest) bool {
			if q.position > 1 {
				q.write(responseTo(q.previous))
			}
			q.write(responseTo(q.id()))
			return true
		},
		"twice before the next response": func(q *hostRequest) bool {
			if q.position > 1 {
				q.write(responseTo(q.previous) + responseTo(q.previous))
			}
			q.write(responseTo(q.id()))
			return true
		},
		"refusal before the next response": func(q *hostRequest) bool {
			if q.position > 1 {
				q.write("HTTP/1.1 503 Full\r\nRequest-Id: " + q.previous + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			}
			q.write(responseTo(q.id()))
			return true
		},
		"bytes that are not a response": func(q *hostRequest) bool { q.write(responseTo(q.id()) + "surplus"); return true },
	} {
		t.Run(name, func(t *testing.T) {
			host := newFakeHost(t, "h1", handle)
			_, server := newTestRouter(t, host)
			for i := range 8 {
				id := fmt.Sprint("u", i)
				got := post(t, t.Context(), server, "/unsafe/x", id, []byte("body"))
				assert.Equal(t, got, clientResult{status: http.StatusOK, body: "answer to " + id})
				assert.Equal(t, host.runCount(id), 1)
				time.Sleep(25 * time.Millisecond)
			}
			assert.Assert(t, host.connectionCount() >= 4, "connections with surplus bytes are not reused")
		})
	}
}

// The router notices that a host has closed an idle connection before it sends a request over it.
func TestIdleConnectionClosedByHost(t *testing.T) {
	host := newFakeHost(t, "h1", func(q *hostRequest) bool {
		q.write(responseTo(q.id()))
		return false
	})
	_, server := newTestRouter(t, host)
	for i := range 6 {
		id := fmt.Sprint("u", i)
		got := post(t, t.Context(), server, "/unsafe/x", id, nil)
		assert.Equal(t, got, clientResult{status: http.StatusOK, body: "answer to " + id})
		assert.Equal(t, host.runCount(id), 1)
		time.Sleep(15 * time.Millisecond)
	}
	assert.Equal(t, host.connectionCount(), 6)
}

// A host that resets a connection just as a request arrives on it may have run the request.
func TestConnectionResetAsRequestArrives(t *testing.T) {
	host := newFakeHost(t, "h1", respondOK)
	host.onHeader = func(q *hostRequest) headerAction {
		if q.position != 2 {
			return readBody
		}
		q.reset()
		return closeConnection
	}
	_, server := newTestRouter(t, host)
	assert.Equal(t, post(t, t.Context(), server, "/unsafe/x", "u1", nil).status, http.StatusOK)
	assert.Equal(t, post(t, t.Context(), server, "/unsafe/x", "u2", nil).status, http.StatusBadGateway)
	assert.Equal(t, host.runCount("u2"), 0)
	assert.Equal(t, post(t, t.Context(), server, "/idempotent/x", "i3", nil).status, http.StatusOK)
}

// A host may reject a long request before it has read the body. Its response counts, and no other request may use a
// connection on which the rest of the body is still expected.
func TestResponseBeforeBodyIsRead(t *testing.T) {
	long := bytes.Repeat([]byte("x"), 4<<20)
	for name, afterRefusal := range map[string]func(*hostRequest) headerAction{
		"host closes the connection": func(q *hostRequest) headerAction {
			_ = q.conn.CloseWrite()
			time.Sleep(50 * time.Millisecond)
			return closeConnection
		},
		"host reads the rest later": func(q *hostRequest) headerAction {
			time.Sleep(400 * time.Millisecond)
			rest, err := io.ReadAll(q.request.Body)
			if err == nil && !bytes.Equal(rest, long) {
				t.Errorf("other bytes arrived in place of the rest of the body")
			}
			return readNextRequest
		},
	} {
		t.Run(name, func(t *testing.T) {
			host := newFakeHost(t, "h1", respondOK)
			host.onHeader = func(q *hostRequest) headerAction {
				if q.request.ContentLength < 1<<20 {
					return readBody
				}
				q.write("HTTP/1.1 503 Full\r\nRequest-Id: " + q.id() + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
				return afterRefusal(q)
			}
			_, server := newTestRouter(t, host)
			start := time.Now()
			got := post(t, t.Context(), server, "/unsafe/x", "u1", long)
			assert.Equal(t, got.status, http.StatusServiceUnavailable, "the host reported that the request has not run")
			assert.Assert(t, time.Since(start) < time.Second, "the response is not delayed until the body is read")
			assert.Equal(t, host.runCount("u1"), 0)
			assert.Equal(t, post(t, t.Context(), server, "/unsafe/x", "u2", []byte("short")), clientResult{status: http.StatusOK, body: "answer to u2"})
			assert.Equal(t, host.runCount("u2"), 1)
		})
	}
}

// Guards against half of a response being passed on as a whole one: a host responds without a length before it has read a
// long request, and breaks off. Only the write of the request may learn of the reset.
func TestEarlyResponseThatBreaksOff(t *testing.T) {
	const requests = 12
	long := bytes.Repeat([]byte("x"), 4<<20)
	breakOff := func(head, body string) func(*hostRequest) headerAction {
		return func(q *hostRequest) headerAction {
			q.write("HTTP/1.1 200 OK\r\nRequest-Id: " + q.id() + "\r\nResponse-Seal: s\r\n" + head + "\r\n" + body)
			time.Sleep(10 * time.Millisecond)
			q.reset()
			return closeConnection
		}
	}
	respondWhole := func(q *hostRequest) bool {
		if strings.HasPrefix(q.request.URL.Path, "/stream/") {
			return streamAll(q)
		}
		return respondOK(q)
	}
	for path, broken := range map[string]func(*hostRequest) headerAction{
		"/unsafe/x":     breakOff("", "answer"),
		"/idempotent/x": breakOff("", "answer"),
		"/stream/x":     breakOff("Content-Type: text/event-stream\r\n", eventsFrom(1, 3)),
	} {
		t.Run(path, func(t *testing.T) {
			first, second := newFakeHost(t, "h1", respondWhole), newFakeHost(t, "h2", respondWhole)
			first.onHeader = broken
			second.readsFast.Store(true)
			_, server := newTestRouter(t, first, second)
			complete := 0
			for i := range requests {
				id := fmt.Sprint("r", i)
				got := post(t, t.Context(), server, path, id, long)
				if got.broken || got.status != http.StatusOK {
					continue
				}
				complete++
				want := "answer to " + id
				if path == "/stream/x" {
					want = eventsFrom(1, 7)
				}
				assert.Check(t, got.body == want, "%s: got %q as a complete response", id, got.body)
			}
			assert.Check(t, complete > 0)
		})
	}
}

// Guards against a refusal that holds its request until the deadline: the host sends the header alone, and no body.
func TestRefusalWithoutItsBody(t *testing.T) {
	full := newFakeHost(t, "h1", func(q *hostRequest) bool {
		q.write("HTTP/1.1 503 Full\r\nRequest-Id: " + q.id() + "\r\nNot-Executed: 1\r\nContent-Length: 10\r\n\r\n")
		return true
	})
	free := newFakeHost(t, "h2", respondOK)
	_, server := newTestRouter(t, full, free)
	for i := range 6 { // the free host may be tried first by chance
		id := fmt.Sprint("u", i)
		start := time.Now()
		got := post(t, t.Context(), server, "/unsafe/x", id, []byte("body"))
		assert.Equal(t, got, clientResult{status: http.StatusOK, body: "answer to " + id})
		assert.Equal(t, free.runCount(id), 1)
		assert.Assert(t, time.Since(start) < 500*time.Millisecond, "the request waits for the body of a refusal")
	}
	assert.Equal(t, full.connectionCount(), full.requestCount(), "a connection whose response is incomplete is not reused")
}

// When a client disconnects, its request at the host is ended within half a second, and the connection serves no
// other request.
func TestClientDisconnects(t *testing.T) {
	started := make(chan struct{}, 1)
	host := newFakeHost(t, "h1", func(q *hostRequest) bool {
		if q.id() != "u1" {
			return respondOK(q)
		}
		started <- struct{}{}
		time.Sleep(100 * time.Millisecond)
		return true
	})
	_, server := newTestRouter(t, host)
	ctx, disconnect := context.WithCancel(t.Context())
	go func() { <-started; disconnect() }()
	assert.Assert(t, post(t, ctx, server, "/unsafe/x", "u1", nil).broken)
	select {
	case <-host.closed:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the host still works for a client that has disconnected")
	}
	assert.Equal(t, post(t, t.Context(), server, "/unsafe/x", "u2", nil), clientResult{status: http.StatusOK, body: "answer to u2"})
	assert.Equal(t, host.runCount("u2"), 1)
	assert.Equal(t, host.connectionCount(), 2)
}

func eventsFrom(first, end int) string {
	var b strings.Builder
	for i := first; i < end; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

const streamHeader = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// streamAll streams the events after the one that the client already has, six in total.
func streamAll(q *hostRequest) bool {
	var last int
	if _, err := fmt.Sscan(q.request.Header.Get("Last-Event-Id"), &last); err != nil {
		last = 0
	}
	q.write(fmt.Sprintf(streamHeader, q.id(), q.host.id) + chunk(eventsFrom(last+1, 7)) + "0\r\n\r\n")
	return true
}

// While the host of a stream is silent, another one is asked to continue. If the first host finishes normally after
// all, its connection must not have been put back into the pool, where it would be closed under the next request.
func TestStreamFailoverKeepsAllEvents(t *testing.T) {
	for name, bad := range map[string]func(*hostRequest) bool{
		"ends within an event": func(q *hostRequest) bool {
			q.write(fmt.Sprintf(streamHeader, q.id(), q.host.id) + chunk(eventsFrom(1, 3)+"id: 3\ndata: pi"))
			return false
		},
		"silent, then continues": func(q *hostRequest) bool {
			q.write(fmt.Sprintf(streamHeader, q.id(), q.host.id) + chunk(eventsFrom(1, 3)))
			time.Sleep(260 * time.Millisecond)
			q.write(chunk(eventsFrom(3, 7)) + "0\r\n\r\n")
			return true
		},
		"silent for good": func(q *hostRequest) bool {
			q.write(fmt.Sprintf(streamHeader, q.id(), q.host.id) + chunk(eventsFrom(1, 3)))
			time.Sleep(2 * time.Second)
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			first := newFakeHost(t, "h1", func(q *hostRequest) bool {
				if strings.HasPrefix(q.request.URL.Path, "/stream/") {
					return bad(q)
				}
				return respondOK(q)
			})
			second := newFakeHost(t, "h2", func(q *hostRequest) bool {
				if strings.HasPrefix(q.request.URL.Path, "/stream/") {
					return streamAll(q)
				}
				return respondOK(q)
			})
			_, server := newTestRouter(t, first, second)
			var all sync.WaitGroup
			for i := range 6 {
				all.Add(1)
				go func() {
					defer all.Done()
					got := post(t, t.Context(), server, "/stream/x", fmt.Sprint("r", i), nil)
					assert.Check(t, !got.broken && got.body == eventsFrom(1, 7), "stream %d: %q", i, got.body)
					for j := range 3 {
						id := fmt.Sprintf("u%d-%d", i, j)
						result := post(t, t.Context(), server, "/unsafe/x", id, nil)
						assert.Check(t, result.body == "answer to "+id, "%s: %v", id, result)
						assert.Check(t, first.runCount(id)+second.runCount(id) == 1)
					}
				}()
			}
			all.Wait()
		})
	}
}

// A host begins its response just as the silence timer gives it up, and no other host accepts the request: the client
// must get a complete response or an error, never the beginning of a response.
func TestResponseThatBeginsAsHostIsAbandoned(t *testing.T) {
	// Only a few requests per router: it waits longer once it knows how long responses take.
	const routers, requests = 214, 3
	var all sync.WaitGroup
	for router := range routers {
		var requestCount atomic.Int64
		handle := func(q *hostRequest) bool {
			if requestCount.Add(1) > 1 {
				q.write("HTTP/1.1 503 Full\r\nRequest-Id: " + q.id() + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
				return true
			}
			// About when the timer fires, 250 ms after the request.
			time.Sleep(250*time.Millisecond + time.Duration(router-routers/2)*6*time.Microsecond)
			q.write(fmt.Sprintf(streamHeader, q.id(), q.host.id))
			time.Sleep(5 * time.Millisecond)
			q.write(chunk(eventsFrom(1, 7)) + "0\r\n\r\n")
			return true
		}
		_, server := newTestRouter(t, newFakeHost(t, "h1", handle), newFakeHost(t, "h2", handle))
		all.Go(func() {
			for i := range requests {
				got := post(t, t.Context(), server, "/stream/x", fmt.Sprint("r", i), nil)
				if got.broken || got.status == http.StatusOK && got.body != eventsFrom(1, 7) {
					t.Errorf("router %d, request %d: %+v", router, i, got)
				}
				requestCount.Store(0)
			}
		})
	}
	all.Wait()
}

// A stream ends normally just as its successor begins. The silence timer then closes its connection, which must not
// be reused.
func TestStreamThatEndsAsSuccessorBegins(t *testing.T) {
	for round := range 10 {
		successorStarted := make(chan struct{}, 1)
		first := newFakeHost(t, "h1", nil)
		second := newFakeHost(t, "h2", nil)
		respondSlowly := func(q *hostRequest) bool {
			if !strings.HasPrefix(q.request.URL.Path, "/stream/") {
				time.Sleep(15 * time.Millisecond)
				return respondOK(q)
			}
			if q.request.Header.Get("Last-Event-Id") != "" { // this host is the successor
				successorStarted <- struct{}{}
				time.Sleep(20 * time.Millisecond)
				return streamAll(q)
			}
			q.write(fmt.Sprintf(streamHeader, q.id(), q.host.id) + chunk(eventsFrom(1, 3)))
			<-successorStarted
			q.write(chunk(eventsFrom(3, 7)) + "0\r\n\r\n")
			return true
		}
		first.handle, second.handle = respondSlowly, respondSlowly
		_, server := newTestRouter(t, first, second)
		assert.Equal(t, post(t, t.Context(), server, "/stream/x", "r", nil), clientResult{status: http.StatusOK, body: eventsFrom(1, 7)})
		var all sync.WaitGroup
		for i := range 8 {
			all.Go(func() {
				id := fmt.Sprintf("u%d-%d", round, i)
				assert.Check(t, post(t, t.Context(), server, "/unsafe/x", id, nil).body == "answer to "+id)
			})
		}
		all.Wait()
	}
}
