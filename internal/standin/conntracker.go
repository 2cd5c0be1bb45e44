package standin

import (
	"net"
	"sync"
)

// connTracker holds the open connections of a party, so that they can be reset together. It is safe for concurrent use.
type connTracker struct {
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// add tracks connections that are open, or resets them and reports false if the tracker is closed.
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

// remove forgets connections that have ended.
func (t *connTracker) remove(conns ...net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, conn := range conns {
		delete(t.conns, conn)
	}
}

// resetAll resets all connections. Further ones may be added.
func (t *connTracker) resetAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resetAllLocked()
}

// close resets all connections, and those that are added later.
func (t *connTracker) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	t.resetAllLocked()
}

func (t *connTracker) resetAllLocked() {
	for conn := range t.conns {
		reset(conn)
	}
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
