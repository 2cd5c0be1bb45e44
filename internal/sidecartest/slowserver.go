package sidecartest

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// slowServerBuffer is the size of the receive buffer of a SlowServer in bytes. It is small, so that most bytes of a
	// long request wait in the send queue of the sender.
	slowServerBuffer = 16 << 10
	// slowServerPiece and slowServerPause define how fast a SlowServer reads: at most 160 kB per second.
	slowServerPiece = 8 << 10
	slowServerPause = 50 * time.Millisecond
)

// SlowServer reads requests slowly, while the kernel of the sender accepts their bytes at once. It reads one request from
// each connection.
type SlowServer struct {
	Addr     string
	Done     chan bool    // receives a value at the end of each connection
	Fast     atomic.Bool  // reads as fast as the bytes arrive
	complete atomic.Int64 // complete requests received
	step     Step
}

// NewSlowServer starts a server that runs step for each complete request, and then waits for the end of the connection if
// step returns true.
func NewSlowServer(t *testing.T, step Step) *SlowServer {
	t.Helper()
	const maxConns = 10
	listener := listenEthernet(t)
	server := &SlowServer{Addr: listener.Addr().String(), Done: make(chan bool, maxConns), step: step}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conn.(*net.TCPConn).SetReadBuffer(slowServerBuffer)
			go server.serve(conn)
		}
	}()
	return server
}

// ethernetSegment is the largest segment on an Ethernet in bytes.
const ethernetSegment = 1460

// listenEthernet opens a listener on a free port whose connections use segments of ethernetSegment bytes at most. With the
// large segments of the loopback interface, a receiver with a small buffer would accept bytes only rarely.
func listenEthernet(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		var err error
		controlErr := conn.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, ethernetSegment)
		})
		return errors.Join(controlErr, err)
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// serve reads one request.
func (s *SlowServer) serve(conn net.Conn) {
	defer func() { s.Done <- true }()
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	for err == nil {
		_, err = io.CopyN(io.Discard, request.Body, slowServerPiece)
		if !s.Fast.Load() {
			time.Sleep(slowServerPause)
		}
	}
	if err != io.EOF {
		return
	}
	s.complete.Add(1)
	if s.step(conn) {
		io.Copy(io.Discard, conn)
	}
}

// CompleteRequests returns the number of complete requests received so far.
func (s *SlowServer) CompleteRequests() int { return int(s.complete.Load()) }

// NoResponse is a step that sends nothing and keeps the connection open.
func NoResponse(net.Conn) bool { return true }

// Reset is a step that resets the connection.
func Reset(conn net.Conn) bool {
	conn.(*net.TCPConn).SetLinger(0)
	return false
}
