package downstream

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"cindersaddle/internal/timing"
)

// inactiveDivisor bounds the connections that stay open for another request: one inactiveDivisor-th of the limit.
const inactiveDivisor = 4

// ConnTracker limits the number of open connections of clients. It guards against connections that stay open and send
// nothing: they would use up all descriptors, accept would fail, and no other client would be served. Below its limit
// there are descriptors left, and at the limit a connection without a request is evicted for a new one. Its methods may be
// called by any goroutine.
type ConnTracker struct {
	mu       sync.Mutex
	maxConns int
	open     int // connections that are not closed, with those that are about to be
	queues   connQueues

	// BeforeRead, if set, is called before each read from a connection, with the address of the client. It is for tests
	// and must be set before the first connection is added.
	BeforeRead func(net.Addr)
	// AfterRead, if set, is called after each read, before net/http knows of the bytes. It is for tests and must be set
	// before the first connection is added.
	AfterRead func()
	// Log receives why connections end. It must be set before the first connection is added.
	Log *slog.Logger
}

// NewConnTracker returns a tracker of at most maxConns connections.
func NewConnTracker(maxConns int) *ConnTracker {
	return &ConnTracker{maxConns: maxConns, Log: slog.New(slog.DiscardHandler)}
}

// Add starts to track a new connection. At the limit it evicts another one; if all have complete requests, it closes
// the new one and returns nil.
func (t *ConnTracker) Add(tcpConn *net.TCPConn) *Conn {
	conn := &Conn{TCPConn: tcpConn, tracker: t, openedAt: time.Now()}
	admitted, victim := t.admit(conn)
	if victim != nil {
		victim.closeWithReason(reasonEvicted)
	}
	if !admitted {
		conn.closeWithReason(reasonNotAdmitted)
		return nil
	}
	return conn
}

// admit counts a new connection and puts it into a queue. At the limit it does the latter only if there is a victim,
// which the caller has to close.
func (t *ConnTracker) admit(conn *Conn) (admitted bool, victim *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open++
	if t.open > t.maxConns {
		victim = t.takeVictim(time.Now())
		if victim == nil {
			return false, nil
		}
	}
	t.queues.move(conn, &t.queues.newConns)
	return true, victim
}

// remove stops tracking a connection, and reports whether this is the first call for it.
func (t *ConnTracker) remove(conn *Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if conn.closed {
		return false
	}
	conn.closed = true
	t.open--
	t.queues.remove(conn)
	return true
}

// closeConnsWithoutRequest closes the connections without a complete request.
func (t *ConnTracker) closeConnsWithoutRequest() {
	for _, conn := range t.all() {
		if conn.markClosingIfNoRequest() {
			conn.closeWithReason(reasonShutdownLimit)
		}
	}
}

// closeIdleConns closes the connections between two requests, and those that have been open without a request for
// MinIdleBeforeClose.
func (t *ConnTracker) closeIdleConns() {
	for _, conn := range t.all() {
		mayClose := func() bool {
			return conn.betweenRequests() && (conn.responsesFinished > 0 || time.Since(conn.openedAt) >= MinIdleBeforeClose)
		}
		if conn.markClosing(mayClose) {
			conn.closeWithReason(reasonShutdownIdle)
		}
	}
}

// all returns the connections that are not about to be closed.
func (t *ConnTracker) all() []*Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.queues.all()
}

// empty reports whether no connection is open.
func (t *ConnTracker) empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open == 0
}

// crowded reports whether so many connections wait for a request that no more may stay open after their response. It guards
// against clients that cannot connect because the application, which has a limited number of descriptors too, has used them
// up for connections that carried one request each and are still open.
func (t *ConnTracker) tooManyInactive() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.queues.inactiveCount() >= t.maxConns/inactiveDivisor
}

// handleStateChange is the ConnState hook of http.Server. It moves connections between the queues.
func (t *ConnTracker) handleStateChange(netConn net.Conn, state http.ConnState) {
	conn, ok := netConn.(*Conn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateActive:
		t.queues.move(conn, &t.queues.activeConns)
	case http.StateIdle:
		conn.finishResponse()
		t.queues.move(conn, &t.queues.idleConns)
	}
}

// waitUntilEmpty returns when no connection is open, or when ctx ends.
func (t *ConnTracker) waitUntilEmpty(ctx context.Context) {
	for ctx.Err() == nil && !t.empty() {
		timing.Sleep(ctx, drainPollInterval)
	}
}
