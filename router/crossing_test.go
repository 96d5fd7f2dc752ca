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

// Crossings: answers that are missing, broken, late, surplus or of another request, on connections that are used again.
// Each case counts what the stand-in ran and how many connections it took for it.

// turn is one request on one connection of a stand-in.
type turn struct {
	conn    *net.TCPConn
	request *http.Request
	body    []byte
	number  int    // of the request on its connection, from 1
	before  string // id of the one before it there
	host    *rawHost
}

func (t *turn) id() string { return t.request.Header.Get("Request-Id") }

func (t *turn) write(text string) { _, _ = t.conn.Write([]byte(text)) }

// answerFor is a whole answer to a request; its body names the request.
func answerFor(id string) string {
	body := "answer to " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func (t *turn) reset() {
	_ = t.conn.SetLinger(0)
	_ = t.conn.Close()
}

// earlyTurn says how a stand-in goes on once it has read the head of a request.
type earlyTurn int

const (
	readOn     earlyTurn = iota // it reads the body and handles the request
	nextOne                     // it has dealt with the request, its body included
	endOfTurns                  // it has, and the connection ends
)

// rawHost is a host that speaks on bare sockets. handle is called with each request that was read whole; it reports false
// to have the connection closed.
type rawHost struct {
	id       string
	listener net.Listener
	handle   func(*turn) bool
	early    func(*turn) earlyTurn // called once the head was read

	mu          sync.Mutex
	runs        map[string]int
	connections int
	ended       chan struct{} // one for each connection that the other side ended
}

func newRawHost(t *testing.T, id string, handle func(*turn) bool) *rawHost {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	h := &rawHost{id: id, listener: listener, handle: handle, runs: map[string]int{}, ended: make(chan struct{}, 64)}
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
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10) // what it doesn't read stays with the sender
			go h.serve(conn.(*net.TCPConn))
		}
	}()
	return h
}

func (h *rawHost) serve(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	before := ""
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			h.ended <- struct{}{}
			return
		}
		one := &turn{conn: conn, request: request, number: number, before: before, host: h}
		before = one.id()
		if h.early != nil {
			switch h.early(one) {
			case nextOne:
				continue
			case endOfTurns:
				return
			}
		}
		if one.body, err = io.ReadAll(request.Body); err != nil {
			return
		}
		h.mu.Lock()
		h.runs[one.id()]++
		h.mu.Unlock()
		if !h.handle(one) {
			return
		}
	}
}

func (h *rawHost) ran(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs[id]
}

func (h *rawHost) connectionCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.connections
}

func serveWell(t *turn) bool {
	t.write(answerFor(t.id()))
	return true
}

const crossingConfig = `{"revision":1,"services":[{"name":"s"}],"limits":{},"routes":[
{"name":"u","hostname":"a.example","path_prefix":"/unsafe/","route_type":"unsafe","timeout_ms":1500,"target_ms":400,"backend":"s","max_attempts":3,"public":true},
{"name":"i","hostname":"a.example","path_prefix":"/idempotent/","route_type":"idempotent","timeout_ms":1500,"target_ms":400,"backend":"s","max_attempts":3,"public":true},
{"name":"r","hostname":"a.example","path_prefix":"/stream/","route_type":"streaming","timeout_ms":4000,"target_ms":400,"gap_aim_ms":100,"backend":"s","max_attempts":3,"public":true,"resumable":true}]}`

// requestsBefore have earned what a test needs for requests that are sent again.
const requestsBefore = 200

// newCrossing starts a router before hosts, without an agent.
func newCrossing(t *testing.T, hosts ...*rawHost) (*Router, *httptest.Server) {
	t.Helper()
	s := &settings.Settings{NodeName: "n", IP: "127.0.0.1", Bounds: settings.Bounds{RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 50}}
	r := New(s, hclog.NewNullLogger())
	r.takeConfig(&wire.Config{Revision: 1, Body: wire.Deflate([]byte(crossingConfig))})
	whole := &wire.Hosts{Shard: hostlist.ShardOf("s"), At: wire.HostsOffset{Term: 1, Offset: 1}, Full: true}
	for _, h := range hosts {
		whole.Updated = append(whole.Updated, wire.Host{ID: h.id, Service: "s", Address: h.listener.Addr().String(), Slots: 8})
	}
	r.takeHosts(whole)
	for range requestsBefore {
		r.retries.request("s")
	}
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	return r, server
}

type reply struct {
	status int
	body   string
	broken bool // the connection ended without a whole answer
}

func post(t *testing.T, ctx context.Context, server *httptest.Server, path, id string, body []byte) reply {
	t.Helper()
	return postWith(t, ctx, server, path, id, body, nil)
}

// postWith posts a request that has further headers.
func postWith(t *testing.T, ctx context.Context, server *httptest.Server, path, id string, body []byte, headers map[string]string) reply {
	t.Helper()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+path, bytes.NewReader(body))
	assert.NilError(t, err)
	q.Host = "a.example"
	q.Header.Set("Request-Id", id)
	for name, value := range headers {
		q.Header.Set(name, value)
	}
	answer, err := server.Client().Do(q)
	if err != nil {
		return reply{broken: true}
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return reply{status: answer.StatusCode, body: string(text), broken: err != nil}
}

// TestErrorsOfHosts says for each way in which an exchange fails what the client gets and how often the request ran: one
// that may not be repeated runs at most once, whatever happens; one that may is served by another host.
func TestErrorsOfHosts(t *testing.T) {
	foreign := answerFor("another")
	for name, bad := range map[string]func(*turn) bool{
		"no response":            func(*turn) bool { return false },
		"reset before a byte":    func(q *turn) bool { q.reset(); return false },
		"reset within the head":  func(q *turn) bool { q.write("HTTP/1.1 200 OK\r\nRequ"); q.reset(); return false },
		"closed within the head": func(q *turn) bool { q.write("HTTP/1.1 200 OK\r\nRequest-Id: "); return false },
		"closed within the body": func(q *turn) bool { q.write(answerFor(q.id())[:80]); return false },
		"chunks that end too soon": func(q *turn) bool {
			q.write("HTTP/1.1 200 OK\r\nRequest-Id: " + q.id() + "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
			return false
		},
		"unframed and reset": func(q *turn) bool {
			q.write("HTTP/1.1 200 OK\r\nRequest-Id: " + q.id() + "\r\n\r\nhalf")
			time.Sleep(30 * time.Millisecond)
			q.reset()
			return false
		},
		"not an answer": func(q *turn) bool { q.write("these bytes form no answer\r\n\r\n"); return true },
		"two lengths": func(q *turn) bool {
			q.write("HTTP/1.1 200 OK\r\nRequest-Id: " + q.id() + "\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nabcd")
			return true
		},
		"without a request id": func(q *turn) bool { q.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); return true },
		"refused without an id": func(q *turn) bool {
			q.write("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		},
		"of another request":   func(q *turn) bool { q.write(foreign + answerFor(q.id())); return true },
		"foreign and unframed": func(q *turn) bool { q.write("HTTP/1.1 200 OK\r\nRequest-Id: another\r\n\r\nbytes"); return false },
		"another protocol": func(q *turn) bool {
			q.write("HTTP/1.1 101 Switching Protocols\r\nRequest-Id: " + q.id() + "\r\nUpgrade: x\r\n\r\n")
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			first, other := newRawHost(t, "h1", bad), newRawHost(t, "h2", bad)
			_, server := newCrossing(t, first, other)
			got := post(t, t.Context(), server, "/unsafe/x", "u1", []byte("body"))
			assert.Equal(t, got.status, http.StatusBadGateway, "it may have run: no promise")
			assert.Equal(t, first.ran("u1")+other.ran("u1"), 1)
			assert.Assert(t, !strings.Contains(got.body, "bytes"))

			broken := newRawHost(t, "h1", bad)
			sound := newRawHost(t, "h2", serveWell)
			_, server = newCrossing(t, broken, sound)
			for i := range 4 { // by chance the sound one is asked first
				id := fmt.Sprint("i", i)
				got := post(t, t.Context(), server, "/idempotent/x", id, []byte("body"))
				assert.Equal(t, got, reply{status: http.StatusOK, body: "answer to " + id})
				assert.Equal(t, sound.ran(id), 1)
				assert.Assert(t, broken.ran(id) <= 1)
			}
		})
	}
}

// TestSurplusAnswers has hosts send more than was asked for. No client gets it; a connection that has carried it serves no
// further request.
func TestSurplusAnswers(t *testing.T) {

	for name, handle := range map[string]func(*turn) bool{
		"at once": func(q *turn) bool { q.write(answerFor(q.id()) + answerFor(q.id())); return true },
		"at rest": func(q *turn) bool {
			q.write(answerFor(q.id()))
			time.Sleep(20 * time.Millisecond)
			q.write(answerFor(q.id()))
			return true
		},
		"in the place of the next": func(q *turn) bool {
			if q.number > 1 {
				q.write(answerFor(q.before))
			}
			q.write(answerFor(q.id()))
			return true
		},
		"twice in the place of the next": func(q *turn) bool {
			if q.number > 1 {
				q.write(answerFor(q.before) + answerFor(q.before))
			}
			q.write(answerFor(q.id()))
			return true
		},
		"a refusal in the place of the next": func(q *turn) bool {
			if q.number > 1 {
				q.write("HTTP/1.1 503 Full\r\nRequest-Id: " + q.before + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			}
			q.write(answerFor(q.id()))
			return true
		},
		"bytes without an answer": func(q *turn) bool { q.write(answerFor(q.id()) + "surplus"); return true },
	} {
		t.Run(name, func(t *testing.T) {
			host := newRawHost(t, "h1", handle)
			_, server := newCrossing(t, host)
			for i := range 8 {
				id := fmt.Sprint("u", i)
				got := post(t, t.Context(), server, "/unsafe/x", id, []byte("body"))
				assert.Equal(t, got, reply{status: http.StatusOK, body: "answer to " + id})
				assert.Equal(t, host.ran(id), 1)
				time.Sleep(25 * time.Millisecond)
			}
			assert.Assert(t, host.connectionCount() >= 4, "connections with surplus bytes are not used again")
		})
	}

}

// A connection that the host has closed at rest is found out before a request goes over it.
func TestClosedAtRest(t *testing.T) {
	host := newRawHost(t, "h1", func(q *turn) bool {
		q.write(answerFor(q.id()))
		return false
	})
	_, server := newCrossing(t, host)
	for i := range 6 {
		id := fmt.Sprint("u", i)
		got := post(t, t.Context(), server, "/unsafe/x", id, nil)
		assert.Equal(t, got, reply{status: http.StatusOK, body: "answer to " + id})
		assert.Equal(t, host.ran(id), 1)
		time.Sleep(15 * time.Millisecond)
	}
	assert.Equal(t, host.connectionCount(), 6)
}

// A host that forgets a connection just as a request comes over it may have run it.
func TestForgottenAsTheNextComes(t *testing.T) {
	host := newRawHost(t, "h1", serveWell)
	host.early = func(q *turn) earlyTurn {
		if q.number != 2 {
			return readOn
		}
		q.reset()
		return endOfTurns
	}
	_, server := newCrossing(t, host)
	assert.Equal(t, post(t, t.Context(), server, "/unsafe/x", "u1", nil).status, http.StatusOK)
	assert.Equal(t, post(t, t.Context(), server, "/unsafe/x", "u2", nil).status, http.StatusBadGateway)
	assert.Equal(t, host.ran("u2"), 0)
	assert.Equal(t, post(t, t.Context(), server, "/idempotent/x", "i3", nil).status, http.StatusOK)
}

// A host may reject a long request before it has read it. What it says counts, and nothing else goes over the connection
// on which the rest of the body is due.
func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	long := bytes.Repeat([]byte("x"), 4<<20)
	for name, after := range map[string]func(*turn) earlyTurn{
		"and it ends the connection": func(q *turn) earlyTurn {
			_ = q.conn.CloseWrite()
			time.Sleep(50 * time.Millisecond)
			return endOfTurns
		},
		"and it keeps it and reads on later": func(q *turn) earlyTurn {
			time.Sleep(400 * time.Millisecond)
			rest, err := io.ReadAll(q.request.Body)
			if err == nil && !bytes.Equal(rest, long) {
				t.Errorf("other bytes came where the rest of the body is due")
			}
			return nextOne
		},
	} {
		t.Run(name, func(t *testing.T) {
			host := newRawHost(t, "h1", serveWell)
			host.early = func(q *turn) earlyTurn {
				if q.request.ContentLength < 1<<20 {
					return readOn
				}
				q.write("HTTP/1.1 503 Full\r\nRequest-Id: " + q.id() + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
				return after(q)
			}
			_, server := newCrossing(t, host)
			began := time.Now()
			got := post(t, t.Context(), server, "/unsafe/x", "u1", long)
			assert.Equal(t, got.status, http.StatusServiceUnavailable, "the host's word that it has not run")
			assert.Assert(t, time.Since(began) < time.Second, "the answer is not held back until the body is read")
			assert.Equal(t, host.ran("u1"), 0)
			assert.Equal(t, post(t, t.Context(), server, "/unsafe/x", "u2", []byte("short")), reply{status: http.StatusOK, body: "answer to u2"})
			assert.Equal(t, host.ran("u2"), 1)
		})
	}
}

// A client that leaves has its request ended at the host, within half a second; the connection serves nobody else.
func TestGoneClient(t *testing.T) {
	begun := make(chan struct{}, 1)
	host := newRawHost(t, "h1", func(q *turn) bool {
		if q.id() != "u1" {
			return serveWell(q)
		}
		begun <- struct{}{}
		time.Sleep(100 * time.Millisecond)
		return true
	})
	_, server := newCrossing(t, host)
	ctx, leave := context.WithCancel(t.Context())
	go func() { <-begun; leave() }()
	assert.Assert(t, post(t, ctx, server, "/unsafe/x", "u1", nil).broken)
	select {
	case <-host.ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the host still works for a client that has left")
	}
	assert.Equal(t, post(t, t.Context(), server, "/unsafe/x", "u2", nil), reply{status: http.StatusOK, body: "answer to u2"})
	assert.Equal(t, host.ran("u2"), 1)
	assert.Equal(t, host.connectionCount(), 2)
}

func eventsFrom(first, end int) string {
	var b strings.Builder
	for i := first; i < end; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// streamAll is a host that streams six events behind the one that the client has.
func streamAll(q *turn) bool {
	var last int
	if _, err := fmt.Sscan(q.request.Header.Get("Last-Event-Id"), &last); err != nil {
		last = 0
	}
	q.write(fmt.Sprintf(streamHead, q.id(), q.host.id) + chunk(eventsFrom(last+1, 7)) + "0\r\n\r\n")
	return true
}

// While one host of a stream is silent another one is asked to go on; where the first ends well after all, its connection
// has not been given back by then to be closed under the next request.
func TestStreamsCrossWithoutLossOrSurplus(t *testing.T) {
	for name, bad := range map[string]func(*turn) bool{
		"breaks off in an event": func(q *turn) bool {
			q.write(fmt.Sprintf(streamHead, q.id(), q.host.id) + chunk(eventsFrom(1, 3)+"id: 3\ndata: pi"))
			return false
		},
		"silent, then goes on": func(q *turn) bool {
			q.write(fmt.Sprintf(streamHead, q.id(), q.host.id) + chunk(eventsFrom(1, 3)))
			time.Sleep(260 * time.Millisecond)
			q.write(chunk(eventsFrom(3, 7)) + "0\r\n\r\n")
			return true
		},
		"silent for good": func(q *turn) bool {
			q.write(fmt.Sprintf(streamHead, q.id(), q.host.id) + chunk(eventsFrom(1, 3)))
			time.Sleep(2 * time.Second)
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			first := newRawHost(t, "h1", func(q *turn) bool {
				if strings.HasPrefix(q.request.URL.Path, "/stream/") {
					return bad(q)
				}
				return serveWell(q)
			})
			second := newRawHost(t, "h2", func(q *turn) bool {
				if strings.HasPrefix(q.request.URL.Path, "/stream/") {
					return streamAll(q)
				}
				return serveWell(q)
			})
			_, server := newCrossing(t, first, second)
			var all sync.WaitGroup
			for i := range 6 {
				all.Add(1)
				go func() {
					defer all.Done()
					got := post(t, t.Context(), server, "/stream/x", fmt.Sprint("r", i), nil)
					assert.Check(t, !got.broken && got.body == eventsFrom(1, 7), "stream %d: %q", i, got.body)
					for j := range 3 {
						id := fmt.Sprintf("u%d-%d", i, j)
						one := post(t, t.Context(), server, "/unsafe/x", id, nil)
						assert.Check(t, one.body == "answer to "+id, "%s: %v", id, one)
						assert.Check(t, first.ran(id)+second.ran(id) == 1)
					}
				}()
			}
			all.Wait()
		})
	}
}

// A host begins its answer just as the watch gives it up, and no other one takes the request: the client gets a whole
// answer or an error in its place, but never the beginning of one.
func TestAnswerThatBeginsAsItsHostIsGivenUp(t *testing.T) {
	// Few requests a router: it waits for longer once it knows how long answers take.
	const routers, requests = 214, 3
	var all sync.WaitGroup
	for router := range routers {
		var turns atomic.Int64
		handle := func(q *turn) bool {
			if turns.Add(1) > 1 {
				q.write("HTTP/1.1 503 Full\r\nRequest-Id: " + q.id() + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
				return true
			}
			// About when the watch ends, which is 250 ms after the request.
			time.Sleep(250*time.Millisecond + time.Duration(router-routers/2)*6*time.Microsecond)
			q.write(fmt.Sprintf(streamHead, q.id(), q.host.id))
			time.Sleep(5 * time.Millisecond)
			q.write(chunk(eventsFrom(1, 7)) + "0\r\n\r\n")
			return true
		}
		_, server := newCrossing(t, newRawHost(t, "h1", handle), newRawHost(t, "h2", handle))
		all.Go(func() {
			for i := range requests {
				got := post(t, t.Context(), server, "/stream/x", fmt.Sprint("r", i), nil)
				if got.broken || got.status == http.StatusOK && got.body != eventsFrom(1, 7) {
					t.Errorf("router %d, request %d: %+v", router, i, got)
				}
				turns.Store(0)
			}
		})
	}
	all.Wait()
}

// A stream ends well just as its successor begins. Its connection is closed by the watch then, and must not serve others.
func TestStreamThatEndsAsItsSuccessorBegins(t *testing.T) {
	for round := range 10 {
		asked := make(chan struct{}, 1)
		first := newRawHost(t, "h1", nil)
		second := newRawHost(t, "h2", nil)
		slowly := func(q *turn) bool {
			if !strings.HasPrefix(q.request.URL.Path, "/stream/") {
				time.Sleep(15 * time.Millisecond)
				return serveWell(q)
			}
			if q.request.Header.Get("Last-Event-Id") != "" { // it is the successor
				asked <- struct{}{}
				time.Sleep(20 * time.Millisecond)
				return streamAll(q)
			}
			q.write(fmt.Sprintf(streamHead, q.id(), q.host.id) + chunk(eventsFrom(1, 3)))
			<-asked
			q.write(chunk(eventsFrom(3, 7)) + "0\r\n\r\n")
			return true
		}
		first.handle, second.handle = slowly, slowly
		_, server := newCrossing(t, first, second)
		assert.Equal(t, post(t, t.Context(), server, "/stream/x", "r", nil), reply{status: http.StatusOK, body: eventsFrom(1, 7)})
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
