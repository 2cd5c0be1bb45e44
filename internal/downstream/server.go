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
)

// A client that stalls must get an error or a close within 3 s of connecting. A request that is written at once takes a
// moment; a connection may be silent for 2 s before its first request.
const (
	// headTimeout limits the time for the head of a request.
	headTimeout = 2600 * time.Millisecond
	// readTimeout limits the time for a complete request, unless its body is long.
	readTimeout = 2900 * time.Millisecond
	// writeTimeout limits the time for a response whose body is in memory: a client that does not read it occupies that
	// memory and a descriptor.
	writeTimeout = 10 * time.Second
	// idleTimeout is how long a connection may be idle while there are few. Clients that send one request and keep their
	// connections open occupy descriptors, of which the application has a limited number too.
	idleTimeout = 5 * time.Second
	// maxHeaderBytes limits the size of the head of a request.
	maxHeaderBytes = 32 << 10
)

// The paths that the server responds to.
const (
	apiPath   = "/api" // requests for the endpoints, with all paths below it
	readyPath = "/up"  // whether the sidecar is ready
)

// RequestHandler receives the requests of clients. Its methods are called by the goroutine that serves the
// connection of the request.
type RequestHandler interface {
	// RequestArrived is called for each valid request. The handler sends the response to the Responses channel of the
	// exchange, at most once.
	RequestArrived(*exchange.Exchange)
	// ClientDisconnected is called after RequestArrived if the client closes its connection before it has a response.
	ClientDisconnected(*exchange.Exchange)
}

// Server serves the requests of clients. Its methods may be called by any goroutine.
type Server struct {
	handler      RequestHandler // receives the valid requests
	state        *exchange.ServiceState
	done         <-chan struct{} // closed when no more responses will be sent
	tracker      *ConnTracker
	replayBudget exchange.BufferBudget // of all long request bodies
}

// NewServer returns a server that stores at most replayBytes of long request bodies for repeated attempts. Once done is
// closed, it aborts the requests that await a response.
func NewServer(
	state *exchange.ServiceState, handler RequestHandler, conns *ConnTracker, replayBytes int64, done <-chan struct{},
) *Server {
	server := &Server{state: state, handler: handler, tracker: conns, done: done}
	server.replayBudget.Remaining.Store(replayBytes)
	return server
}

// connKey is the context key of the *Conn of a request.
type connKey struct{}

// HTTPServer returns an http.Server that serves s. It must be used with a Listener, and logs its errors.
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

// ServeHTTP implements http.Handler. It matches paths as they are written: http.ServeMux would respond to some of them with
// a redirect, which clients do not follow.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := r.Context().Value(connKey{}).(*Conn)
	conn.countRequest()
	conn.record.beginRequest(r.Header.Get(traceIDHeader))
	if s.state.ShuttingDown.Load() {
		closeAfterResponse(w)
	}
	switch path := r.URL.Path; {
	case path == apiPath || strings.HasPrefix(path, apiPath+"/"):
		s.handleAPI(w, r, conn)
	case path == readyPath && r.Method == http.MethodGet:
		s.handleReady(w)
	default:
		respondError(w, &exchange.RequestError{Status: http.StatusNotFound, Text: "no such path"})
	}
	conn.record.setPhase(phaseResponded) // a handler that aborts does not return
}

// handleReady responds whether the sidecar is ready for requests.
func (s *Server) handleReady(w http.ResponseWriter) {
	if !s.state.IsReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}
