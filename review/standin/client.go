//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// client keeps one connection to the router.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	used    int // requests that were answered on it
}

func (c *client) connect() error {
	conn, err := net.DialTimeout("tcp4", c.address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader, c.used = conn, bufio.NewReader(conn), 0
	return nil
}

// result is how one request ended at its client.
type result struct {
	status int
	seal   string
	events int
	whole  bool
	body   string
	took   time.Duration
	err    error
}

func (r result) String() string {
	return fmt.Sprintf("status %d, seal %q, %d events, whole %v, after %.3f s, %v", r.status, r.seal, r.events, r.whole, r.took.Seconds(), r.err)
}

// request sends one request on the client's connection and reads the answer.
func (c *client) request(path, id string, header map[string]string, body string) (r result) {
	began := time.Now()
	defer func() { r.took = time.Since(began) }()
	if c.conn == nil {
		if r.err = c.connect(); r.err != nil {
			return r
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\n", path, id)
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	if _, r.err = io.WriteString(c.conn, b.String()); r.err != nil {
		c.close()
		return r
	}
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: "POST"})
	if err != nil {
		r.err = err
		c.close()
		return r
	}
	r.status, r.seal = answer.StatusCode, answer.Header.Get("Response-Seal")
	text, err := io.ReadAll(answer.Body)
	r.body, r.events, r.err = string(text), strings.Count(string(text), "\n\n"), err
	r.whole = err == nil
	if c.used++; err != nil || answer.Close {
		c.close()
	}
	return r
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
