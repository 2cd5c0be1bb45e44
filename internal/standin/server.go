package standin

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Behavior decides what a server does with a request. Several goroutines call it.
type Behavior func(*http.Request) Reply

// Server is an HTTP/1.1 server that acts as one incarnation of an endpoint.
type Server struct {
	behavior Behavior
	listener net.Listener
	running  sync.WaitGroup
	conns    connTracker

	mu       sync.Mutex
	attempts []*Attempt
}

// NewServer starts a server at an address, "127.0.0.1:0" for any free port. It returns an error if it cannot listen there.
func NewServer(address string, behavior Behavior) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("start a server: %w", err)
	}
	server := &Server{behavior: behavior, listener: listener}
	server.running.Go(server.accept)
	return server, nil
}

// Addr returns the address of the server.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Attempts returns the attempts received so far, in their order.
func (s *Server) Attempts() []Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make([]Attempt, 0, len(s.attempts))
	for _, attempt := range s.attempts {
		copied = append(copied, *attempt)
	}
	return copied
}

// Close resets all connections, as the death of the process does, and waits for the server's goroutines.
func (s *Server) Close() {
	s.listener.Close()
	s.conns.close()
	s.running.Wait()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if s.conns.add(conn) {
			s.running.Go(func() { s.serve(conn) })
		}
	}
}

// serve handles the requests of one connection.
func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	defer s.conns.remove(conn)
	requests := make(chan *receivedRequest)
	gone := make(chan struct{})
	stop := make(chan struct{})
	defer close(stop)
	s.running.Go(func() {
		defer close(gone)
		readRequests(conn, requests, stop)
	})
	for {
		select {
		case request := <-requests:
			if !s.handle(conn, request, gone) {
				return
			}
		case <-gone:
			return
		}
	}
}

// handle responds to a request, and reports whether the connection persists. gone is closed when the other side has closed it.
func (s *Server) handle(conn net.Conn, request *receivedRequest, gone <-chan struct{}) (persists bool) {
	if request.isHealthCheck() {
		return writeHealthy(conn) == nil
	}
	attempt := newAttempt(request)
	s.record(attempt)
	reply := s.behavior(request.Request)
	end, persists := reply.respond(conn, attempt.TraceID, gone)
	s.mu.Lock()
	defer s.mu.Unlock()
	attempt.End, attempt.EndedAt = end, time.Now()
	return persists
}

func (s *Server) record(attempt *Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, attempt)
}
