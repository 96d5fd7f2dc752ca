// Package coordclient lets applications take locks, draw numbers, and put, read and watch small keys at the control
// processes of a fleet.
//
// A call goes to one control process and, where that fails, is silent for a second or has no time, to the next one, with a
// pause that grows, for as long as the caller's context lasts. All calls may be repeated without harm.
package coordclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// attemptTimeout is after how long an attempt counts as failed.
	attemptTimeout = time.Second
	// initialBackoff and longestPause bound the pauses between attempts.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// maxAnswerBytes is the largest answer that is read.
	maxAnswerBytes         = 16 << 20
	maxIdleConnsPerAddress = 16 // idle connections that are kept to one address
)

// Client calls the control processes of one fleet. It is safe for concurrent use.
type Client struct {
	addresses []string
	preferred atomic.Uint32 // index of the address that answered last
	http      *http.Client
}

// Options say how a client reaches its fleet.
type Options struct {
	// Addresses are those of the control processes, host:port.
	Addresses []string
	// Transport carries the calls; nil for one of the client's own.
	Transport http.RoundTripper
}

// New makes a client. It sends nothing yet.
func New(options Options) (*Client, error) {
	if len(options.Addresses) == 0 {
		return nil, ErrNoAddresses
	}
	transport := options.Transport
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerAddress, DialContext: (&net.Dialer{Timeout: attemptTimeout}).DialContext}
	}
	c := &Client{addresses: append([]string{}, options.Addresses...), http: &http.Client{Transport: transport}}
	c.preferred.Store(rand.Uint32N(uint32(len(c.addresses))))
	return c, nil
}

// Close ends the connections that are not in use. Locks are not given back.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call is one call, whichever address it goes to.
type call struct {
	method  string
	path    string
	body    any           // sent as JSON; nil for none
	timeout time.Duration // for one attempt
}

func post(path string, body any) *call {
	return &call{method: http.MethodPost, path: path, body: body, timeout: attemptTimeout}
}

// reply is a clear answer.
type reply struct {
	status int
	body   []byte
	sent   time.Time // when the attempt that was answered was sent
}

// decode takes a 200's body.
func (r *reply) decode(into any) error {
	if r.status != http.StatusOK {
		return &StatusError{r.status}
	}
	if err := json.Unmarshal(r.body, into); err != nil {
		return fmt.Errorf("coordclient: answer: %w", err)
	}
	return nil
}

// do sends a call to one address after the other until there is a clear answer or the context ends.
func (c *Client) do(ctx context.Context, call *call) (*reply, error) {
	body, err := encode(call.body)
	if err != nil {
		return nil, err
	}
	failure := &UnansweredError{}
	index := c.preferred.Load()
	for backoff := initialBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxBackoff) {
		r, err := c.attempt(ctx, call, c.addresses[index], body)
		if err == nil {
			c.preferred.Store(index)
			return r, nil
		}
		failure.Last = err
		failure.MayHaveTakenEffect = failure.MayHaveTakenEffect || !hadNoEffect(err)
		index = (index + 1) % uint32(len(c.addresses))
		sleep(ctx, withJitter(backoff))
	}
	failure.Cause = context.Cause(ctx)
	return nil, failure
}

func encode(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	return json.Marshal(body)
}

// attempt sends a call to one address. An error means that another attempt is due.
func (c *Client) attempt(ctx context.Context, call *call, address string, body []byte) (*reply, error) {
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+address+call.path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	answered := &reply{sent: time.Now()}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	answered.status = response.StatusCode
	if answered.status >= http.StatusInternalServerError || answered.status == http.StatusTooManyRequests {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswerBytes)) // so that the connection is used again
		return nil, &StatusError{answered.status}
	}
	answered.body, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return answered, err
}

// hadNoEffect says whether a failed attempt can't have taken effect, now or later: it was never sent, or it was answered
// 429 or 503.
func hadNoEffect(err error) bool {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status == http.StatusTooManyRequests || status.Status == http.StatusServiceUnavailable
	}
	var network *net.OpError
	return errors.As(err, &network) && network.Op == "dial"
}

// withJitter draws a pause between half and all of the one given.
func withJitter(backoff time.Duration) time.Duration { return backoff/2 + rand.N(backoff/2) }

// sleep waits, or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
