package admin

import (
	"net"
	"slices"
	"sync"
	"time"

	"cindersaddle/internal/fault"
	"cindersaddle/internal/socket"
)

// acceptRetryDelay is the time between two attempts to accept a connection.
const acceptRetryDelay = 5 * time.Millisecond

// limitedListener limits the number of open connections. It guards against connections that stay open and send nothing:
// they would use up all descriptors, and a scrape or a readiness check could not connect. For a new connection the oldest
// one is closed, which has no complete request, as complete ones get their response at once.
type limitedListener struct {
	net.Listener
	maxConns int

	mu   sync.Mutex
	conns []*limitedConn // the oldest first
}

// Accept returns the next connection. When the process has no descriptors left it closes the oldest one and accepts
// again. It fails only if the listener cannot be used any more: all other errors pass, or are those of one connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.accept()
		switch {
		case err == nil:
			return l.add(conn), nil
		case socket.ListenerBroken(err):
			return nil, err
		case !socket.Exhausted(err) || !l.closeOldest():
			time.Sleep(acceptRetryDelay)
		}
	}
}

// accept returns the next connection of the listener, and fails as the fault plan of a test says.
func (l *limitedListener) accept() (net.Conn, error) {
	if err := fault.Injected(fault.Accept); err != nil {
		return nil, err
	}
	return l.Listener.Accept()
}

// add counts a connection, and closes the oldest one beyond the limit.
func (l *limitedListener) add(conn net.Conn) net.Conn {
	limited := &limitedConn{Conn: conn, listener: l}
	l.mu.Lock()
	l.conns = append(l.conns, limited)
	overLimit := len(l.conns) > l.maxConns
	l.mu.Unlock()
	if overLimit {
		l.closeOldest()
	}
	return limited
}

// remove stops counting a connection.
func (l *limitedListener) remove(conn *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = slices.DeleteFunc(l.conns, func(open *limitedConn) bool { return open == conn })
}

// closeOldest closes the oldest connection and reports whether there was one.
func (l *limitedListener) closeOldest() bool {
	oldest := l.oldest()
	if oldest == nil {
		return false
	}
	oldest.Close()
	return true
}

// oldest returns the oldest open connection, or nil.
func (l *limitedListener) oldest() *limitedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) == 0 {
		return nil
	}
	return l.conns[0]
}

// limitedConn is a connection of a limitedListener.
type limitedConn struct {
	net.Conn
	listener *limitedListener
}

// Close closes the connection, which no longer counts.
func (c *limitedConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}
