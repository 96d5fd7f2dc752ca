// Package metrics serves the metrics of a process over HTTP, in the Prometheus text format.
package metrics

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	contentType   = "text/plain; version=0.0.4; charset=utf-8"
	headerTimeout = 10 * time.Second
)

// Writer writes all metrics of a process. The context ends with the request for them.
type Writer func(ctx context.Context, w io.Writer)

// Handler serves the metrics at exactly this path, without cleaning the path of a request.
func Handler(path string, write Writer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != path {
			http.NotFound(w, r)
			return
		}
		w.Header().Set("Content-Type", contentType)
		write(r.Context(), w)
	})
}

type noopCloser struct{}

func (noopCloser) Close() error { return nil }

// Serve serves the metrics at an address of this machine until the result is closed. The endpoint is PORT/PATH; if it is
// empty, nothing is served.
func Serve(ip, endpoint string, write Writer) (io.Closer, error) {
	if endpoint == "" {
		return noopCloser{}, nil
	}
	port, path, _ := strings.Cut(endpoint, "/")
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, port))
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	server := &http.Server{Handler: Handler("/"+path, write), ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	return server, nil
}
