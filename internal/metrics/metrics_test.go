package metrics

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func writeOne(_ context.Context, w io.Writer) { _, _ = io.WriteString(w, "figure 1\n") }

// The metrics must be served at the configured path only.
func TestMetricsAreServedAtTheirPathOnly(t *testing.T) {
	free, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	port := free.Addr().(*net.TCPAddr).Port
	assert.NilError(t, free.Close())
	server, err := Serve("127.0.0.1", strconv.Itoa(port)+"/own//figures", writeOne)
	assert.NilError(t, err)
	defer server.Close()
	for path, want := range map[string]int{"/own//figures": http.StatusOK, "/own": http.StatusNotFound} {
		response, err := http.Get("http://127.0.0.1:" + strconv.Itoa(port) + path)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, want)
		assert.Equal(t, string(body) == "figure 1\n", want == http.StatusOK)
		if want == http.StatusOK {
			assert.Assert(t, strings.HasPrefix(response.Header.Get("Content-Type"), "text/plain; version=0.0.4"))
		}
	}
	_, err = Serve("127.0.0.1", strconv.Itoa(port)+"/x", writeOne)
	assert.ErrorContains(t, err, "metrics")
}

func TestNothingIsServedWithoutAnEndpoint(t *testing.T) {
	server, err := Serve("127.0.0.1", "", writeOne)
	assert.NilError(t, err)
	assert.NilError(t, server.Close())
}
