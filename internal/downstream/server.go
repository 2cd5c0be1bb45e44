package downstream

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
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
	apiPath   = "/api" // requests for the servers, with all paths below it
	readyPath = "/up"  // whether the sidecar is ready
)

// RequestHandler receives the requests of the application. Its methods are called by the goroutine that serves the
// connection of the request.
type RequestHandler interface {
	// RequestArrived is called for each valid request. The handler sends the response to the Responses channel of the
	// exchange, at most once.
	RequestArrived(*exchange.Exchange)
	// ClientLeft is called after RequestArrived if the client closes its connection before it has a response.
	ClientLeft(*exchange.Exchange)
}

// Server serves the requests of the application. Its methods may be called by any goroutine.
type Server struct {
	// Handler receives the valid requests. It must not be changed after the server has started.
	Handler RequestHandler

	state        *exchange.ServiceState
	done         <-chan struct{} // closed when no more responses will be sent
	conns        *ConnTracker
	replayBudget exchange.BufferBudget // of all long request bodies
}

// NewServer returns a server that stores at most replayBytes of long request bodies for repeated attempts. Once done is
// closed, it aborts the requests that await a response.
func NewServer(
	state *exchange.ServiceState, handler RequestHandler, conns *ConnTracker, replayBytes int64, done <-chan struct{},
) *Server {
	server := &Server{state: state, Handler: handler, conns: conns, done: done}
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
		ConnState:         s.conns.trackState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
}

// ServeHTTP implements http.Handler. It matches paths as they are written: http.ServeMux would answer some of them with
// a redirect, which the application does not expect.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := r.Context().Value(connKey{}).(*Conn)
	conn.countRequest()
	conn.record.begin(r.Header.Get(traceIDHeader))
	if s.state.ShuttingDown.Load() {
		closeAfterResponse(w)
	}
	switch path := r.URL.Path; {
	case path == apiPath || strings.HasPrefix(path, apiPath+"/"):
		s.handleAPI(w, r, conn)
	case path == readyPath && r.Method == http.MethodGet:
		s.handleReady(w)
	default:
		rejectMalformed(w, &exchange.RequestError{Status: http.StatusNotFound, Text: "no such path"})
	}
	conn.record.enter(phaseResponded) // a handler that aborts does not return
}

// closeAfterResponse makes net/http close the connection after the response.
func closeAfterResponse(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// handleReady responds whether the sidecar is ready for requests.
func (s *Server) handleReady(w http.ResponseWriter) {
	if !s.state.IsReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

// rejectMalformed responds to an invalid request with the text of err, and closes the connection: the bytes that follow
// on it cannot be interpreted.
func rejectMalformed(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var requestErr *exchange.RequestError
	if errors.As(err, &requestErr) {
		status = requestErr.Status
	}
	closeAfterResponse(w)
	http.Error(w, err.Error(), status)
}

// handleAPI passes a request to the handler and waits for its response.
func (s *Server) handleAPI(w http.ResponseWriter, r *http.Request, conn *Conn) {
	request, err := s.parseRequest(w, r, conn)
	if err == nil {
		err = awaitIfComplete(request, conn)
	}
	if err != nil {
		rejectMalformed(w, err)
		return
	}
	if upload := request.Message.Upload; upload != nil {
		defer conn.uploading.Store(false)
		defer upload.Release()
	}
	conn.record.enter(phaseAwaiting)
	s.Handler.RequestArrived(request)
	select {
	case response := <-request.Responses:
		if response.Abort {
			conn.record.explain(reasonClientGone, nil)
			panic(http.ErrAbortHandler)
		}
		conn.record.enter(phaseResponding)
		s.respond(w, r, conn, request.Message.Upload, response)
	case <-r.Context().Done():
		conn.record.explain(reasonContextDone, context.Cause(r.Context()))
		s.Handler.ClientLeft(request)
		// A return would send an empty 200, and a client that has closed only its sending side would accept it.
		panic(http.ErrAbortHandler)
	case <-s.done:
		conn.record.explain(reasonProcessEnds, nil)
		panic(http.ErrAbortHandler)
	}
}

// awaitIfComplete records that a request awaits its response if its body has been read completely. A long body does so
// itself at its end. It returns an error if bytes follow the request. That the client is gone is no error here: the
// context of the request ends.
func awaitIfComplete(request *exchange.Exchange, conn *Conn) error {
	if request.Message.Upload != nil {
		return nil
	}
	if err := conn.AwaitResponse(conn.requests); errors.Is(err, ErrSurplus) {
		return exchange.BadRequestf("%v", err)
	}
	return nil
}

// respond writes a response. upload is the long body of the request, or nil.
func (s *Server) respond(
	w http.ResponseWriter, r *http.Request, conn *Conn, upload *exchange.Upload, response *exchange.Response,
) {
	// This is decided when the response is ready, not when the request arrives: many requests wait when a shutdown begins.
	if s.mustClose(conn, upload, response) {
		closeAfterResponse(w)
	}
	if response.Download != nil {
		streamResponse(w, r, conn, response)
		return
	}
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	writeResponse(w, response)
}

// mustClose records that the response is about to be written, and reports whether the connection has to end with it.
func (s *Server) mustClose(conn *Conn, upload *exchange.Upload, response *exchange.Response) bool {
	surplus := conn.decideResponse()
	uploadIncomplete := upload != nil && !upload.Complete.Load()
	return response.CloseConn ||
		s.state.ShuttingDown.Load() ||
		conn.scanner.Chunked ||
		uploadIncomplete ||
		surplus ||
		conn.tracker.crowded()
}

// writeResponse writes a response whose body is in memory.
func writeResponse(w http.ResponseWriter, response *exchange.Response) {
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	w.WriteHeader(response.Status)
	w.Write(response.Body)
}
