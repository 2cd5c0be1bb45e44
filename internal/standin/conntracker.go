package standin

import (
	"net"
	"sync"
)

// connTracker holds the open connections of a stand-in, so that all can be reset at once. It is safe for concurrent
// use.
type connTracker struct {
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// add adds open connections. If the tracker is closed, it resets them instead and returns false.
func (t *connTracker) add(conns ...net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		for _, conn := range conns {
			reset(conn)
		}
		return false
	}
	if t.conns == nil {
		t.conns = map[net.Conn]struct{}{}
	}
	for _, conn := range conns {
		t.conns[conn] = struct{}{}
	}
	return true
}

// remove removes connections that have ended.
func (t *connTracker) remove(conns ...net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, conn := range conns {
		delete(t.conns, conn)
	}
}

// resetAll resets all connections. The tracker stays open for new ones.
func (t *connTracker) resetAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resetAllLocked()
}

// close resets all connections, and from then on add resets the connections that it gets.
func (t *connTracker) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	t.resetAllLocked()
}

// resetAllLocked resets all connections. The caller holds mu.
func (t *connTracker) resetAllLocked() {
	for conn := range t.conns {
		reset(conn)
	}
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
