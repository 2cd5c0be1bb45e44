package admin

import (
	"net"
	"slices"
	"sync"
	"time"

	"cindersaddle/internal/fault"
	"cindersaddle/internal/socket"
)

// acceptRetryDelay is the delay before Accept retries after an error, unless it has closed a connection.
const acceptRetryDelay = 5 * time.Millisecond

// limitedListener limits the number of open connections. It guards against connections that stay open and send nothing:
// they would use up all file descriptors, and a scrape or a readiness check could not connect. If a new connection
// exceeds the limit, the oldest one is closed. The oldest one has not sent a complete request, because complete
// requests get their response at once.
type limitedListener struct {
	net.Listener
	maxConns int

	mu    sync.Mutex
	conns []*limitedConn // the open connections, oldest first
}

// Accept returns the next connection. If no file descriptor is available, Accept closes the oldest connection and tries
// again. It fails only if the listener can no longer be used: all other errors are transient or concern a single
// connection.
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

// accept makes one attempt to accept a connection. The fault plan of a test may make it fail.
func (l *limitedListener) accept() (net.Conn, error) {
	if err := fault.InjectedError(fault.Accept); err != nil {
		return nil, err
	}
	return l.Listener.Accept()
}

// add adds a connection to the open ones, and closes the oldest if there are now more than maxConns.
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

// remove removes a connection from the open ones.
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

// Close closes the connection and removes it from the open connections of its listener.
func (c *limitedConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}
