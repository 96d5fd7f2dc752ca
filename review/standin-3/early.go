package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Case early: hosts answer a long request before they have read its body, and without a length. Hosts in trouble break
// off part of these answers: their connection is reset.

const (
	earlyClients  = 4
	earlyBodySize = 4_000_000 // of the request, below max_body_bytes
	earlyAnswer   = 6000      // bytes of a whole answer
	earlyFirst    = 3000      // bytes that are sent before the rest of the request is read
)

func earlyConfig() map[string]any {
	return config(map[string]any{"route_type": "unsafe", "timeout_ms": 4000, "target_ms": 600, "max_attempts": 1})
}

// earlyHost is a host that speaks HTTP/1.1 by itself, as net/http can't answer in this way.
type earlyHost struct {
	id       string
	ledger   *ledger
	record   *record
	listener net.Listener
	garbles  bool // it is one of the hosts that are in trouble
}

func startEarlyHosts(p *play, list *platform, count int) error {
	for i := range count {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return err
		}
		h := &earlyHost{id: fmt.Sprintf("i-%d", i+1), ledger: p.ledger, record: p.record, listener: listener, garbles: i < count/2}
		go h.accept()
		list.add(instance{ID: h.id, Backend: service, Address: listener.Addr().String(), Zone: "didube", Revision: "v1",
			Slots: hostSlots, State: "ready"})
	}
	return nil
}

func (h *earlyHost) accept() {
	for {
		conn, err := h.listener.Accept()
		if err != nil {
			return
		}
		go h.serve(conn)
	}
}

// wholeAnswer is the body of the answer of a run.
func wholeAnswer(host string, number int64) []byte {
	return bytes.Repeat([]byte(fmt.Sprintf("%s/%06d ", host, number)), earlyAnswer)[:earlyAnswer]
}

func (h *earlyHost) serve(conn net.Conn) {
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10) // links have small windows
	request, err := http.ReadRequest(bufio.NewReaderSize(conn, 4<<10))
	if err != nil {
		return
	}
	id := request.Header.Get("Request-Id")
	if target := request.Header.Get("Target-Instance"); target != "" && target != h.id {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
		_, _ = io.Copy(io.Discard, request.Body)
		return
	}
	of := h.ledger.begin(h.id, id)
	body := wholeAnswer(h.id, of.number)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s.%x\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n",
		id, h.id, of.number)
	if _, err := conn.Write(append([]byte(head), body[:earlyFirst]...)); err != nil {
		return
	}
	if h.garbles && garbleNow() {
		h.record.add("disruption: %s breaks off run %d after %d of %d bytes", h.id, of.number, earlyFirst, earlyAnswer)
		return // the rest of the request is unread, so the connection is reset
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	_, _ = conn.Write(body[earlyFirst:])
}

func runEarly(p *play) (int, error) {
	var mu sync.Mutex
	sent, whole, failed, cut := 0, 0, 0, 0
	p.garbleTwice("half of the hosts break off 3 in 100 of their answers")
	body := bytes.Repeat([]byte("x"), earlyBodySize)
	p.everyClient(earlyClients, garbleSpan, 10*time.Millisecond, func(c *client) {
		a := c.send("/a/extract", 4*time.Second, body)
		mu.Lock()
		defer mu.Unlock()
		sent++
		runs := p.ledger.of(a.id)
		switch {
		case a.status == http.StatusOK && a.complete && len(runs) > 0 &&
			!bytes.Equal(a.body, wholeAnswer(runs[0].host, runs[0].number)):
			cut++
			p.record.add("MIXED: %s gets 200 and a complete answer of %d bytes; the host's whole answer has %d", a.id, len(a.body),
				earlyAnswer)
		case a.status == http.StatusOK && a.complete:
			whole++
		default:
			failed++
		}
	})
	p.record.add("sent %d, whole answers %d, failed %d, part of an answer as a complete one %d", sent, whole, failed, cut)
	if whole < sent/2 {
		return cannotRun, fmt.Errorf("%d of %d served", whole, sent)
	}
	if cut > 0 {
		return broken, nil
	}
	return held, nil
}
