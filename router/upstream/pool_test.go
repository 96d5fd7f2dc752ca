package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func doExchange(t *testing.T, c *Conn) *http.Response {
	t.Helper()
	response, err := c.Do(&Request{Method: "GET", Target: "/", Host: "a", Header: http.Header{}}, time.Now().Add(time.Second))
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	return response
}

func TestConnectionOutlivesRequestOncePutBack(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer host.Close()
	pool := NewPool()
	firstCtx, cancelFirst := context.WithCancel(context.Background())
	c, err := pool.Get(firstCtx, host.Listener.Addr().String())
	assert.NilError(t, err)
	pool.Put(c, doExchange(t, c))
	second, err := pool.Get(context.Background(), host.Listener.Addr().String())
	assert.NilError(t, err)
	assert.Equal(t, second, c)
	cancelFirst() // the client of the first request leaves while the second one uses the connection
	doExchange(t, second)
}

func TestConnectionIsNotKeptAfterRequestEnds(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer host.Close()
	pool := NewPool()
	ctx, cancel := context.WithCancel(context.Background())
	c, err := pool.Get(ctx, host.Listener.Addr().String())
	assert.NilError(t, err)
	response := doExchange(t, c)
	cancel()
	pool.Put(c, response)
	assert.Equal(t, len(pool.idle), 0)
}

func TestRetiredConnectionIsNotKept(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer host.Close()
	pool := NewPool()
	c, err := pool.Get(t.Context(), host.Listener.Addr().String())
	assert.NilError(t, err)
	response := doExchange(t, c)
	c.Retire()
	pool.Put(c, response)
	assert.Equal(t, len(pool.idle), 0)
}
