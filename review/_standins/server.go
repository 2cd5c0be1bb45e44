package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// serverConn is a connection to a server, with a request on it that has been received.
type serverConn struct {
	*net.TCPConn
	server *server
	reader *bufio.Reader
}

// server stands in for a port node. It answers probes itself.
type server struct {
	id, zone string
	address  string
	inFlight atomic.Int64
	served   atomic.Int64

	// handle serves a request whose head was read. It reads the body, and returns whether the connection stays open.
	handle func(c *serverConn, r *http.Request) bool
}

// startServers starts count servers, in the zones in turn, and returns them with the list of discovery. segmentSize limits
// the segments that the servers accept, as an Ethernet does; 0 means no limit.
func startServers(count, segmentSize int, handle func(c *serverConn, r *http.Request) bool) ([]*server, []member) {
	var servers []*server
	var members []member
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if segmentSize == 0 {
			return nil
		}
		var err error
		raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentSize)
		})
		return err
	}}
	for i := range count {
		listener, err := config.Listen(context.Background(), "tcp", freePort())
		check(err)
		s := &server{id: fmt.Sprintf("s-%02d", i), zone: zoneNames[i%len(zoneNames)], address: listener.Addr().String(), handle: handle}
		go s.serve(listener)
		servers = append(servers, s)
		members = append(members, member{ID: s.id, HostPort: s.address, Locality: s.zone, Flavor: "std-2", Cell: i / 6, Phase: "ready", Size: 1})
	}
	return servers, members
}

func (s *server) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		check(err)
		go s.serveConn(&serverConn{TCPConn: conn.(*net.TCPConn), server: s, reader: bufio.NewReader(conn)})
	}
}

func (s *server) serveConn(c *serverConn) {
	defer c.Close()
	for {
		request, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		if strings.HasPrefix(request.URL.Path, "/api") {
			s.inFlight.Add(1)
			open := s.handle(c, request)
			s.inFlight.Add(-1)
			s.served.Add(1)
			if !open {
				return
			}
			continue
		}
		held := s.inFlight.Load()
		report := fmt.Sprintf("TEXT inflight=%d, util=%.2f, qps=%d, queue=0", held, min(1, float64(held)/2), held*8)
		c.respond(http.StatusOK, report)
	}
}

// respond writes a response with a Content-Length.
func (c *serverConn) respond(status int, body string) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
	return err
}

// reset ends the connection with a TCP reset.
func (c *serverConn) reset() bool {
	c.SetLinger(0)
	return false
}

// readBody reads and discards the body of a request. It reports whether the whole body came.
func readBody(r *http.Request) bool {
	_, err := io.Copy(io.Discard, r.Body)
	return err == nil
}

// answerTo is the body of a server's answer to the request with a trace ID.
func answerTo(r *http.Request) string { return "answer to " + r.Header.Get("X-Trace-Id") }

// work waits as long as a request takes a server.
func work(d time.Duration) { time.Sleep(d) }

// keyMemory is what the servers of one zone remember of the Idempotency-Keys: a repeat within the window is dropped.
type keyMemory struct {
	mu     sync.Mutex
	window time.Duration
	ranAt  map[string]time.Time // by zone and key
	runs   map[string]int       // by key: how often its effect was applied
}

func newKeyMemory(window time.Duration) *keyMemory {
	return &keyMemory{window: window, ranAt: map[string]time.Time{}, runs: map[string]int{}}
}

// run applies the effect of a keyed request, unless the zone has run it within the window. since is the time since the
// zone last ran it, or 0.
func (m *keyMemory) run(zone, key string) (applied bool, since time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	last, known := m.ranAt[zone+" "+key]
	if known {
		since = time.Since(last)
		if since <= m.window {
			return false, since
		}
	}
	m.ranAt[zone+" "+key] = time.Now()
	m.runs[key]++
	return true, since
}

// sinceRun returns the time since a zone last ran a key, or 0 if it has not run it.
func (m *keyMemory) sinceRun(zone, key string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if last, known := m.ranAt[zone+" "+key]; known {
		return time.Since(last)
	}
	return 0
}
