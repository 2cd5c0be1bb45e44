// Package admin serves the admin address of the sidecar: readiness and metrics.
//
// The package has its own HTTP server, connections and file descriptors and does not wait for the event loop, so that
// it responds even if the client address is overloaded. Server.Serve runs in a goroutine of its caller; package
// net/http starts another one for each connection. The caller provides the metrics and the readiness function, which
// must be safe for concurrent use.
package admin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"cindersaddle/internal/metrics"
)

const (
	// MaxConns is the maximum number of open connections at the admin address. File descriptors are reserved for them.
	MaxConns = 16
	// HeadTimeout is the maximum time for reading the head of a request. It ensures that a stalled connection is
	// closed within 3 s.
	HeadTimeout = 2 * time.Second

	// requestTimeout is the maximum time for reading a request, and also the maximum time for writing its response.
	requestTimeout = 3 * time.Second
	// maxHeaderBytes is http.Server.MaxHeaderBytes, the maximum size of a request head.
	maxHeaderBytes = 4 << 10
)

// The paths that are served at the admin address.
const (
	readyPath   = "/api/ready"
	metricsPath = "/api/telemetry"
)

// metricsContentType is the media type of the Prometheus text format.
const metricsContentType = "text/plain; version=0.0.4; charset=utf-8"

// Server serves the requests at the admin address.
type Server struct {
	metrics *metrics.Metrics
	ready   func() bool
}

// New returns a server for the given metrics. The function ready reports whether the process is ready for clients.
func New(processMetrics *metrics.Metrics, ready func() bool) *Server {
	return &Server{metrics: processMetrics, ready: ready}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	handler := s.handler(r.URL.Path)
	if handler == nil {
		http.Error(w, "no such path", http.StatusNotFound)
		return
	}
	if r.Method != http.MethodGet {
		w.Header().Set("Allow", http.MethodGet)
		http.Error(w, "this path wants GET", http.StatusMethodNotAllowed)
		return
	}
	handler(w)
}

// handler returns the handler of GET requests for a path, or nil if the path is unknown.
func (s *Server) handler(path string) func(http.ResponseWriter) {
	switch path {
	case readyPath:
		return s.writeReady
	case metricsPath:
		return s.writeMetrics
	default:
		return nil
	}
}

// writeReady responds with status 200 if the process is ready for clients, and 503 otherwise.
func (s *Server) writeReady(w http.ResponseWriter) {
	if !s.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

// writeMetrics responds with all metrics in the Prometheus text format.
func (s *Server) writeMetrics(w http.ResponseWriter) {
	var text bytes.Buffer
	s.metrics.WriteText(&text)
	w.Header().Set("Content-Type", metricsContentType)
	w.Header().Set("Content-Length", strconv.Itoa(text.Len()))
	w.Write(text.Bytes())
}

// Serve serves the connections of the listener until ctx is done, and closes the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener, log *slog.Logger) {
	server := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: HeadTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      requestTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	server.SetKeepAlivesEnabled(false) // one request per connection
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	err := server.Serve(&limitedListener{Listener: listener, maxConns: MaxConns})
	if ctx.Err() == nil {
		log.Error("admin address", "error", fmt.Errorf("serve: %w", err))
	}
}
