// Package coordclient is the client of the coordination service: with it, applications acquire locks, get
// increasing numbers, and put, get and watch small keys at the control processes of a fleet.
//
// A call goes to one control process. If that fails, doesn't answer within a second or is overloaded, the call goes to
// the next one after a growing backoff, until the caller's context ends. All calls can safely be repeated.
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
	// attemptTimeout is the time after which an attempt without an answer has failed.
	attemptTimeout = time.Second
	// initialBackoff and maxBackoff bound the backoff between attempts, before jitter.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// maxAnswerBytes is how much of an answer is read at most.
	maxAnswerBytes         = 16 << 20
	maxIdleConnsPerAddress = 16
)

// Client calls the control processes of one fleet. It is safe for concurrent use.
type Client struct {
	addresses []string
	preferred atomic.Uint32 // index of the address that answered last
	http      *http.Client
}

// Options configure how a client reaches its fleet.
type Options struct {
	// Addresses are the addresses of the control processes, as host:port.
	Addresses []string
	// Transport sends the calls. If it is nil, the client creates its own.
	Transport http.RoundTripper
}

// New creates a client. It sends nothing yet. The error is ErrNoAddresses if there are no addresses.
func New(options Options) (*Client, error) {
	if len(options.Addresses) == 0 {
		return nil, ErrNoAddresses
	}
	transport := options.Transport
	if transport == nil {
		transport = &http.Transport{
			MaxIdleConnsPerHost: maxIdleConnsPerAddress,
			DialContext:         (&net.Dialer{Timeout: attemptTimeout}).DialContext,
		}
	}
	c := &Client{addresses: append([]string{}, options.Addresses...), http: &http.Client{Transport: transport}}
	c.preferred.Store(rand.Uint32N(uint32(len(c.addresses))))
	return c, nil
}

// Close closes the idle connections. It does not release locks.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call is one call, independent of the address that it is sent to.
type call struct {
	method  string
	path    string
	body    any           // sent as JSON; nil for none
	timeout time.Duration // of one attempt
}

func post(path string, body any) *call {
	return &call{method: http.MethodPost, path: path, body: body, timeout: attemptTimeout}
}

// reply is a definite answer, after which no further attempt is needed.
type reply struct {
	status int
	body   []byte
	sent   time.Time // when the answered attempt was sent
}

// decode decodes the body of an answer with status 200. Any other status is a *StatusError.
func (r *reply) decode(into any) error {
	if r.status != http.StatusOK {
		return &StatusError{r.status}
	}
	if err := json.Unmarshal(r.body, into); err != nil {
		return fmt.Errorf("coordclient: decoding answer: %w", err)
	}
	return nil
}

// do sends a call to one address after the other until there is a definite answer or the context ends. In the latter
// case the error is an *UnansweredError.
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

// attempt sends a call to one address. After any error the call is attempted again.
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
	result := &reply{sent: time.Now()}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	result.status = response.StatusCode
	if result.status >= http.StatusInternalServerError || result.status == http.StatusTooManyRequests {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswerBytes)) // so that the connection can be reused
		return nil, &StatusError{result.status}
	}
	result.body, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return result, err
}

// hadNoEffect reports whether it is certain that a failed attempt has not taken effect and never will: it was never
// sent, or it was answered 429 or 503.
func hadNoEffect(err error) bool {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status == http.StatusTooManyRequests || status.Status == http.StatusServiceUnavailable
	}
	var network *net.OpError
	return errors.As(err, &network) && network.Op == "dial"
}

// withJitter returns a random duration between half of the backoff and all of it.
func withJitter(backoff time.Duration) time.Duration { return backoff/2 + rand.N(backoff/2) }

// sleep waits for a duration, or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
