package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["stream"] = playStream }

const (
	streamService = "assistant"
	streamPath    = "/assistant/"
	streamEvents  = 6
	streamHosts   = 5 // one of them crashes: a share of 0.2
	streamClients = 40
	beforeCrash   = 13 * time.Second
	afterCrash    = 3500 * time.Millisecond // the crashed host is down to the end
	eventGap      = 100 * time.Millisecond
	lineLength    = 4096 // bytes of the line that holds an event's text, without its end
)

// lineBytes returns the length of the line that holds an event's text.
func lineBytes() int {
	if n, err := strconv.Atoi(os.Getenv("LINE")); err == nil {
		return n
	}
	return lineLength
}

// eventText returns the text of an event of a request. It is the same at each host.
func eventText(request string, number int) string {
	text := fmt.Sprintf("piece %d of %s ", number, request)
	return strings.Repeat(text, lineBytes()/len(text)+1)[:lineBytes()-len("data: ")]
}

// streamHost answers with a stream of events, and goes on after Last-Event-Id. It writes the empty line that ends an
// event together with the next event.
type streamHost struct {
	id       string
	record   *record
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

func startStreamHost(id string, r *record) (*streamHost, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &streamHost{id: id, record: r, listener: listener, conns: map[net.Conn]bool{}}
	server := &http.Server{Handler: h, ConnState: h.track}
	go func() { _ = server.Serve(listener) }()
	return h, nil
}

func (h *streamHost) track(conn net.Conn, state http.ConnState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(h.conns, conn)
	} else {
		h.conns[conn] = true
	}
}

// crash resets all connections of the host and opens no further ones.
func (h *streamHost) crash() {
	h.listener.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for conn := range h.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
}

func (h *streamHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != h.id {
		w.Header().Set("Instance-Id", h.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without one
	h.record.printf("%s runs at %s, after event %d", id, h.id, after)
	w.Header().Set("Response-Seal", h.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	end := ""
	for number := after + 1; number <= streamEvents; number++ {
		fmt.Fprintf(w, "%sid: %d\ndata: %s\n", end, number, eventText(id, number))
		if out.Flush() != nil {
			return
		}
		end = "\n"
		time.Sleep(eventGap)
	}
	_, _ = io.WriteString(w, end)
}

// piece is one event as a client reads it.
type piece struct{ id, data string }

// readPieces reads events as text/event-stream defines them: the lines up to an empty one are one event, its data lines
// are joined, and the last id counts.
func readPieces(body io.Reader) (pieces []piece, err error) {
	lines := bufio.NewReader(body)
	var current piece
	var data []string
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF {
			return pieces, nil
		}
		if err != nil {
			return pieces, err
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "":
			if len(data) > 0 {
				current.data = strings.Join(data, "\n")
				pieces = append(pieces, current)
			}
			current, data = piece{id: current.id}, nil
		case strings.HasPrefix(line, "id:"):
			current.id = strings.TrimSpace(line[len("id:"):])
		case strings.HasPrefix(line, "data:"):
			data = append(data, strings.TrimPrefix(line[len("data:"):], " "))
		}
	}
}

// wrongPiece says what is wrong with the events of a stream that ended as complete; "" if nothing is.
func wrongPiece(request string, pieces []piece) string {
	for i, one := range pieces {
		if one.id != strconv.Itoa(i+1) || one.data != eventText(request, i+1) {
			return fmt.Sprintf("event %d of %d has id %s and %d bytes of text, where event %d with %d bytes was due",
				i+1, len(pieces), one.id, len(one.data), i+1, len(eventText(request, i+1)))
		}
	}
	if len(pieces) != streamEvents {
		return fmt.Sprintf("%d events of %d", len(pieces), streamEvents)
	}
	return ""
}

// playStream lets one host crash while it streams; the route's streams may be resumed.
func playStream(r *record, trouble bool) (int, error) {
	var hosts []*streamHost
	var list []instance
	for i := range streamHosts {
		h, err := startStreamHost(fmt.Sprintf("i-host%d", i), r)
		if err != nil {
			return 0, err
		}
		hosts = append(hosts, h)
		list = append(list, instance{ID: h.id, Backend: streamService, Address: h.listener.Addr().String(), Zone: "zone0", Revision: "v1", Slots: 64, State: "ready"})
	}
	p, err := startPlatform(list...)
	if err != nil {
		return 0, err
	}
	f, err := startFleet(0, p.address)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return 0, err
	}
	route := map[string]any{"name": "r-assistant", "path_prefix": streamPath, "route_type": "streaming", "timeout_ms": 12000, "target_ms": 500,
		"max_attempts": 2, "resumable": true, "sticky": true, "gap_aim_ms": 600}
	if status, _, err := f.replaceConfig(0, config(1, streamService, route, []any{})); err != nil || status != 200 {
		return 0, fmt.Errorf("the configuration was answered %d: %w", status, err)
	}
	if err := f.awaitReady(); err != nil {
		return 0, err
	}
	c := newClient(f.address(front, frontPort))
	c.http.Timeout = 13 * time.Second
	var mu sync.Mutex
	wrong, whole, cut := 0, 0, 0
	play := func(id string) {
		r.printf("%s sent", id)
		pieces, err := c.stream(id)
		problem := wrongPiece(id, pieces)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case err != nil:
			cut++
			r.printf("%s is cut: %v", id, err)
		case problem != "":
			wrong++
			r.printf("%s ends as complete and is wrong: %s", id, problem)
		default:
			whole++
			r.printf("%s is whole", id)
		}
	}
	crashAt := time.Now().Add(beforeCrash)
	var clients sync.WaitGroup
	for number := range streamClients {
		clients.Go(func() {
			for i := 1; time.Now().Before(crashAt.Add(afterCrash)); i++ {
				play(fmt.Sprintf("client%d-%d", number, i))
			}
		})
	}
	time.Sleep(time.Until(crashAt))
	if trouble {
		r.printf("%s crashes", hosts[0].id)
		hosts[0].crash()
	}
	clients.Wait()
	if exits := f.ownExits(); len(exits) > 0 {
		return 0, fmt.Errorf("processes ended: %v", exits)
	}
	r.conclude("streams: %d whole, %d cut, %d that ended as complete with wrong events", whole, cut, wrong)
	switch {
	case whole < 100:
		return notPlayed, nil
	case wrong > 0:
		r.conclude("ORDER is broken")
		return broken, nil
	}
	r.conclude("ORDER is kept")
	return held, nil
}

// stream sends a request and reads the events of its answer. An answer that ends early is an error.
func (c *client) stream(id string) ([]piece, error) {
	request, err := c.request(id, streamPath+"x", "none", map[string]string{"Deadline-Ms": "12000", "Token-Usage": "600,50"})
	if err != nil {
		return nil, err
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("answered %d", answer.StatusCode)
	}
	return readPieces(answer.Body)
}
