package router

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"ivybank/internal/metrics"
	"ivybank/internal/tcp"
)

const (
	readyPath = "/v1/ready"
	// unreadyNoticeTime is how long the platform may take to stop sending new connections: it probes readiness each
	// second and acts on the second failed probe.
	unreadyNoticeTime = 2500 * time.Millisecond
	shutdownReserve   = 500 * time.Millisecond // left before the platform sends SIGKILL
	pollInterval      = 20 * time.Millisecond
	headerTimeout     = 10 * time.Second
	idleTimeout       = 30 * time.Second
)

// Run serves clients until the context ends, and then drains.
func (r *Router) Run(ctx context.Context) error {
	clientListener, err := net.Listen("tcp4", r.settings.Listen.Front)
	if err != nil {
		return fmt.Errorf("router: %w", err)
	}
	readyListener, err := net.Listen("tcp4", r.settings.Listen.Ready)
	if err != nil {
		return fmt.Errorf("router: %w", err)
	}
	defer readyListener.Close()
	backgroundCtx, stop := context.WithCancel(context.Background())
	defer stop()
	go r.followAgent(backgroundCtx)
	go r.pool.Sweep(backgroundCtx)
	go r.limiter.Report(backgroundCtx, r.log)
	go r.reportEventIntervals(backgroundCtx)
	metricsServer, err := metrics.Serve(r.settings.IP, r.settings.Metrics, r.metrics.write)
	if err != nil {
		return fmt.Errorf("router: %w", err)
	}
	defer metricsServer.Close()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+readyPath, r.handleReady)
	go func() {
		_ = (&http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}).Serve(tcp.RetryAccept(readyListener))
	}()
	server := &http.Server{Handler: r, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: nil}
	go func() { _ = server.Serve(tcp.RetryAccept(clientListener)) }()
	<-ctx.Done()
	r.drain(server)
	return nil
}

// drain reports not ready, waits until the platform has noticed, lets running requests finish, and stops before the
// platform would kill the process.
func (r *Router) drain(server *http.Server) {
	startedAt := time.Now()
	r.stopping.Store(true)
	r.log.Info("drains", "active", r.active.Load())
	grace := time.Duration(r.settings.Bounds.GraceS * float64(time.Second))
	noticedBy := startedAt.Add(min(unreadyNoticeTime, grace/2))
	for time.Now().Before(noticedBy) {
		time.Sleep(pollInterval)
	}
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(grace-shutdownReserve))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		r.log.Warn("requests cut off at the end of the grace period", "active", r.active.Load())
		server.Close()
	}
}

func (r *Router) handleReady(w http.ResponseWriter, _ *http.Request) {
	if r.stopping.Load() || !r.isServing() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
