package downstream

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"cindersaddle/internal/exchange"
	"cindersaddle/internal/logging"
	"cindersaddle/internal/metrics"
)

// A client that stalls must get an error response or a closed connection within 3 s of connecting. Clients may stay
// silent for 2 s before their first request, and then write a request without delay.
const (
	// headTimeout is the maximum time for reading the head of a request: the request line and the headers.
	headTimeout = 2600 * time.Millisecond
	// readTimeout is the maximum time for reading a complete request. pacedReader extends it for bodies that take
	// longer.
	readTimeout = 2900 * time.Millisecond
	// writeTimeout is the maximum time for writing a buffered response. A client that does not read its response ties
	// up the buffer and a file descriptor.
	writeTimeout = 10 * time.Second
	// idleTimeout is how long a connection may be idle between two requests; see also ConnTracker.tooManyInactive.
	// Clients that send one request and keep their connection open use up the file descriptors of the sidecar and
	// of the application.
	idleTimeout = 5 * time.Second
	// maxHeaderBytes is http.Server.MaxHeaderBytes, the maximum size of a request head.
	maxHeaderBytes = 32 << 10
)

// The paths that the server handles.
const (
	apiPath   = "/api" // this path and all paths below it: requests for the endpoints
	readyPath = "/up"  // readiness of the sidecar
)

// RequestHandler handles the requests of clients. Its methods are called by the goroutine that serves the connection of
// the request.
type RequestHandler interface {
	// RequestArrived is called for each valid request. The handler sends the response to ex.Responses, at most once. It
	// releases ex.Memory when it does not need the request any more.
	RequestArrived(ex *exchange.Exchange)
	// ClientDisconnected is called after RequestArrived if the client closes its connection before it gets a response.
	ClientDisconnected(ex *exchange.Exchange)
}

// Server serves the requests of clients. Its methods are safe for concurrent use.
type Server struct {
	handler      RequestHandler // handles the valid requests
	state        *exchange.ServiceState
	done         <-chan struct{} // closed when handler sends no more responses
	tracker      *ConnTracker
	replayBudget exchange.ReplayBudget // shared by the uploads of all requests
	metrics      *metrics.Metrics
	invalidLogs  *logging.Limiter // of invalid requests
}

// invalidLogInterval is the minimum time between two log lines about invalid requests.
const invalidLogInterval = time.Second

// NewServer returns a server that buffers at most replayBytes of all uploads together for retries. Once done is closed,
// it aborts the requests that await a response.
func NewServer(
	state *exchange.ServiceState, handler RequestHandler, tracker *ConnTracker, replayBytes int64,
	registry *metrics.Metrics, done <-chan struct{},
) *Server {
	server := &Server{
		state: state, handler: handler, tracker: tracker, done: done, metrics: registry,
		invalidLogs: logging.NewLimiter(invalidLogInterval),
	}
	server.replayBudget.Remaining.Store(replayBytes)
	return server
}

// connKey is the context key of the *Conn of a request.
type connKey struct{}

// HTTPServer returns an http.Server that uses s as its handler and writes its errors to log. It must be used with a
// Listener.
func (s *Server) HTTPServer(log *slog.Logger) *http.Server {
	return &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelError),
		ConnState:         s.tracker.handleStateChange,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
}

// ServeHTTP implements http.Handler. It matches paths without cleaning them: http.ServeMux would respond to some paths
// with a redirect, which clients do not follow.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := r.Context().Value(connKey{}).(*Conn)
	conn.countRequest()
	conn.record.beginRequest(loggedTraceID(r))
	if s.state.ShuttingDown.Load() {
		closeAfterResponse(w)
	}
	switch path := r.URL.Path; {
	case path == apiPath || strings.HasPrefix(path, apiPath+"/"):
		s.handleAPI(w, r, conn)
	case path == readyPath && r.Method == http.MethodGet:
		s.handleReady(w)
	default:
		s.respondInvalid(w, r, conn, &exchange.RequestError{Status: http.StatusNotFound, Text: "no such path"})
	}
	conn.record.setPhase(phaseResponded) // not reached if the handler aborts: it panics
}

// handleReady responds to a readiness check: with status 200 if the sidecar is ready for requests, otherwise with 503.
func (s *Server) handleReady(w http.ResponseWriter) {
	if !s.state.IsReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}
