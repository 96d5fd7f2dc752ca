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

func exchange(t *testing.T, c *Conn) *http.Response {
	t.Helper()
	answer, err := c.Do(&Request{Method: "GET", Target: "/", Host: "a", Header: http.Header{}}, time.Now().Add(time.Second))
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, answer.Body)
	assert.NilError(t, err)
	return answer
}

func TestConnectionPutBackOutlivesItsRequest(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer host.Close()
	pool := NewPool()
	first, end := context.WithCancel(context.Background())
	c, err := pool.Get(first, host.Listener.Addr().String())
	assert.NilError(t, err)
	pool.Put(c, exchange(t, c))
	second, err := pool.Get(context.Background(), host.Listener.Addr().String())
	assert.NilError(t, err)
	assert.Equal(t, second, c)
	end() // the first request's client leaves while the second uses the connection
	exchange(t, second)
}

func TestConnectionOfAnEndedRequestIsNotKept(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer host.Close()
	pool := NewPool()
	ctx, end := context.WithCancel(context.Background())
	c, err := pool.Get(ctx, host.Listener.Addr().String())
	assert.NilError(t, err)
	answer := exchange(t, c)
	end()
	pool.Put(c, answer)
	assert.Equal(t, len(pool.idle), 0)
}

func TestRetiredConnectionIsNotKept(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer host.Close()
	pool := NewPool()
	c, err := pool.Get(t.Context(), host.Listener.Addr().String())
	assert.NilError(t, err)
	answer := exchange(t, c)
	c.Retire()
	pool.Put(c, answer)
	assert.Equal(t, len(pool.idle), 0)
}
