package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// AttemptEnd is how an attempt ended as its server saw it.
type AttemptEnd int

// The ends of attempts.
const (
	EndOpen      AttemptEnd = iota // it has not ended
	EndServed                      // a complete good response was written
	EndError                       // an error response was written; the request ran
	EndNeverRan                    // it was rejected without being run
	EndBroken                      // the server broke the response or the connection; the request ran
	EndAbandoned                   // the other side closed the connection first; the request may run on
)

// Attempt is one complete request that a server received.
type Attempt struct {
	Server         string
	TraceID        string
	Method         string
	IdempotencyKey string
	ExpiresIn      time.Duration // as the request states; 0: it does not
	FirstByteAt    time.Time
	LastByteAt     time.Time
	EndedAt        time.Time
	End            AttemptEnd
}

// Server is a server that the sidecars send to. Its behavior decides what becomes of each request.
type Server struct {
	Name string

	behavior func(*http.Request) Reply
	listener net.Listener
	running  sync.WaitGroup

	mu       sync.Mutex
	attempts []*Attempt
	conns    map[net.Conn]bool
	closed   bool
}

// NewServer starts a server at an address, "127.0.0.1:0" for any. behavior is called by several goroutines.
func NewServer(name, address string, behavior func(*http.Request) Reply) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("start server %s: %w", name, err)
	}
	server := &Server{Name: name, behavior: behavior, listener: listener, conns: map[net.Conn]bool{}}
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
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		reset(conn)
	}
	s.mu.Unlock()
	s.running.Wait()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if s.track(conn) {
			s.running.Go(func() { s.serve(conn) })
		}
	}
}

// track adds a connection, or resets it if the server is closed.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		reset(conn)
		return false
	}
	s.conns[conn] = true
	return true
}

// serve handles the requests of one connection.
func (s *Server) serve(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		conn.Close()
	}()
	requests := make(chan *received)
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

// received is a request with the times of its bytes.
type received struct {
	*http.Request
	firstByteAt, lastByteAt time.Time
}

// readRequests reads requests until the connection ends, and so notices its end while a response is written.
func readRequests(conn net.Conn, requests chan<- *received, stop <-chan struct{}) {
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		firstByteAt := time.Now()
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		select {
		case requests <- &received{request, firstByteAt, time.Now()}:
		case <-stop:
			return
		}
	}
}

// handle responds to a request, and reports whether the connection goes on.
func (s *Server) handle(conn net.Conn, request *received, gone <-chan struct{}) bool {
	if request.URL.Path == "/alive" || request.URL.Path == "/metrics/load" {
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	attempt := s.record(request)
	reply := s.behavior(request.Request)
	end, goesOn := s.respond(conn, attempt.TraceID, &reply, gone)
	s.mu.Lock()
	defer s.mu.Unlock()
	attempt.End, attempt.EndedAt = end, time.Now()
	return goesOn
}

// record adds an attempt.
func (s *Server) record(request *received) *Attempt {
	attempt := &Attempt{
		Server:         s.Name,
		TraceID:        request.Header.Get("X-Trace-Id"),
		Method:         request.Method,
		IdempotencyKey: request.Header.Get("Idempotency-Key"),
		ExpiresIn:      parseExpiry(request.Header.Get("X-Expires-In")),
		FirstByteAt:    request.firstByteAt,
		LastByteAt:     request.lastByteAt,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, attempt)
	return attempt
}

// respond writes the response that reply describes.
func (s *Server) respond(conn net.Conn, traceID string, reply *Reply, gone <-chan struct{}) (end AttemptEnd, goesOn bool) {
	if !waitOrGone(reply.Delay, gone) || !awaitHold(reply.Hold, gone) {
		return EndAbandoned, false
	}
	body := bodyOf(traceID, reply.Padding)
	switch reply.Kind {
	case ReplyHang:
		<-gone
		return EndAbandoned, false
	case ReplyReset:
		reset(conn)
		return EndBroken, false
	case ReplyMalformed:
		io.WriteString(conn, "HTTP/1.1 2x0 OK\r\n\r\n")
		return EndBroken, false
	case ReplyCut:
		reply.writeBody(conn, "200 OK", body, true, gone)
		reset(conn)
		return EndBroken, false
	case ReplyError:
		return finished(EndError, reply.writeBody(conn, "500 Oops", body, false, gone), reply)
	case ReplyNeverRan:
		_, err := io.WriteString(conn, "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
		return EndNeverRan, err == nil
	}
	return finished(EndServed, reply.writeBody(conn, "200 OK", body, false, gone), reply)
}

// finished returns how an attempt ended whose response was written with an error or without.
func finished(end AttemptEnd, err error, reply *Reply) (AttemptEnd, bool) {
	if err != nil {
		return EndAbandoned, false
	}
	return end, reply.Framing != FramedByClose
}

// awaitHold waits until hold is closed, and reports false if gone is closed earlier.
func awaitHold(hold, gone <-chan struct{}) bool {
	if hold == nil {
		return true
	}
	select {
	case <-hold:
		return true
	case <-gone:
		return false
	}
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// parseExpiry returns the time that a request states, 0 if it states none that can be read.
func parseExpiry(text string) time.Duration {
	for suffix, unit := range map[string]time.Duration{"m": time.Millisecond, "u": time.Microsecond} {
		number, found := strings.CutSuffix(text, suffix)
		if value, err := strconv.ParseFloat(number, 64); found && err == nil {
			return time.Duration(value * float64(unit))
		}
	}
	return 0
}
