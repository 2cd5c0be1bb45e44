package standin

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Behavior decides how a server handles a request. It has to be safe for concurrent use.
type Behavior func(*http.Request) Reply

// Server is an HTTP/1.1 server that acts as one incarnation of an endpoint. It responds with status 200 to health
// checks and requests for the load report, and to all others as its Behavior decides.
type Server struct {
	behavior   Behavior
	listener   net.Listener
	goroutines sync.WaitGroup
	conns      connTracker

	mu       sync.Mutex
	attempts []*Attempt
}

// NewServer starts a server at an address; "127.0.0.1:0" selects a free port. It returns an error if it cannot listen
// there.
func NewServer(address string, behavior Behavior) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("start a server: %w", err)
	}
	server := &Server{behavior: behavior, listener: listener}
	server.goroutines.Go(server.accept)
	return server, nil
}

// Addr returns the address of the server.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Attempts returns the attempts received so far, in the order of their arrival.
func (s *Server) Attempts() []Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make([]Attempt, 0, len(s.attempts))
	for _, attempt := range s.attempts {
		copied = append(copied, *attempt)
	}
	return copied
}

// Close stops listening, resets all connections, as the kernel does when a process is killed, and waits until the
// server's goroutines have ended.
func (s *Server) Close() {
	s.listener.Close()
	s.conns.close()
	s.goroutines.Wait()
}

// accept accepts connections until the listener is closed, and serves each in its own goroutine.
func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if s.conns.add(conn) {
			s.goroutines.Go(func() { s.serve(conn) })
		}
	}
}

// serve handles the requests on one connection until it ends.
func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	defer s.conns.remove(conn)
	requests := make(chan *receivedRequest)
	peerClosed := make(chan struct{})
	stop := make(chan struct{})
	defer close(stop)
	s.goroutines.Go(func() {
		defer close(peerClosed)
		readRequests(conn, requests, stop)
	})
	for {
		select {
		case request := <-requests:
			if !s.handle(conn, request, peerClosed) {
				return
			}
		case <-peerClosed:
			return
		}
	}
}

// handle responds to a request and reports whether the connection persists. It records the request as an attempt,
// unless it is a health check or asks for the load report. peerClosed is closed when the other side has closed the
// connection.
func (s *Server) handle(conn net.Conn, request *receivedRequest, peerClosed <-chan struct{}) (persists bool) {
	if request.isHealthCheckOrLoadReport() {
		return writeHealthy(conn) == nil
	}
	attempt := newAttempt(request)
	s.addAttempt(attempt)
	reply := s.behavior(request.Request)
	outcome, persists := reply.respond(conn, attempt.TraceID, peerClosed)
	s.mu.Lock()
	defer s.mu.Unlock()
	attempt.Outcome, attempt.EndedAt = outcome, time.Now()
	return persists
}

// addAttempt adds an attempt to the records of the server.
func (s *Server) addAttempt(attempt *Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, attempt)
}
