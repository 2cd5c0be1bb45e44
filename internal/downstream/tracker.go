package downstream

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"cindersaddle/internal/exchange"
	"cindersaddle/internal/logging"
	"cindersaddle/internal/memory"
	"cindersaddle/internal/timing"
)

// inactiveDivisor limits the inactive connections, which are the new and the idle ones: while there are
// maxConns/inactiveDivisor of them or more, connections are closed after their response.
const inactiveDivisor = 4

// refusalLogInterval is the minimum time between two log lines about refused heads or requests.
const refusalLogInterval = time.Second

// ConnTracker limits the number of open client connections. Without it, connections that stay open and send nothing
// could use up all file descriptors, so that accept fails and no other client is served. The limit leaves descriptors
// free; at the limit, a connection without a complete request is evicted for a new one. Its methods are safe for
// concurrent use.
type ConnTracker struct {
	mu        sync.Mutex
	maxConns  int
	openConns int // connections that are not closed, including those that are about to be closed
	queues    connQueues

	refusalLogs *logging.Limiter // of refused heads and requests

	// Memory is the budget that connections and heads count against; nil means no limit. It must be set before the first
	// connection is added.
	Memory *memory.Budget
	// State says whether the process is shutting down. It must be set before the first connection is added.
	State *exchange.ServiceState

	// BeforeRead, if set, is called before each read from a connection, with the address of the client. It is for tests
	// and must be set before the first connection is added.
	BeforeRead func(net.Addr)
	// AfterRead, if set, is called after each read, before net/http gets the bytes. It is for tests and must be set
	// before the first connection is added.
	AfterRead func()
	// Log is the log for failed accepts and for connections that end without a complete response. It must be set before
	// the first connection is added.
	Log *slog.Logger
}

// NewConnTracker returns a tracker that admits at most maxConns connections.
func NewConnTracker(maxConns int) *ConnTracker {
	return &ConnTracker{
		maxConns: maxConns, State: &exchange.ServiceState{}, Log: slog.New(slog.DiscardHandler),
		refusalLogs: logging.NewLimiter(refusalLogInterval),
	}
}

// Add adds a new connection. At the limit it evicts another one. If no other connection can be evicted, because all
// have complete requests, it closes the new one and returns nil.
func (t *ConnTracker) Add(tcpConn *net.TCPConn) *Conn {
	conn := &Conn{TCPConn: tcpConn, tracker: t, openedAt: time.Now(), memory: t.Memory.NewReservation()}
	conn.memory.Add(memory.Connections, connBytes)
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

// admit counts a new connection and adds it to a queue. At the limit it admits the connection only if it finds a
// victim, which the caller must close. A connection that is not admitted is counted until the caller closes it.
func (t *ConnTracker) admit(conn *Conn) (admitted bool, victim *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.openConns++
	if t.openConns > t.maxConns {
		victim = t.takeVictim(time.Now())
		if victim == nil {
			return false, nil
		}
	}
	t.queues.move(conn, &t.queues.newConns)
	return true, victim
}

// remove removes a connection. It returns false if the connection was already removed.
func (t *ConnTracker) remove(conn *Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if conn.closed {
		return false
	}
	conn.closed = true
	t.openConns--
	t.queues.remove(conn)
	return true
}

// closeConnsWithoutRequest closes all connections without a complete request, at the time limit of a shutdown.
func (t *ConnTracker) closeConnsWithoutRequest() {
	for _, conn := range t.all() {
		if conn.markClosingIfNoRequest() {
			conn.closeWithReason(reasonShutdownLimit)
		}
	}
}

// closeIdleConns closes the idle connections, except those on which part of the next request has arrived, and the new
// connections that have been open for SilenceGracePeriod without receiving any byte of a request.
func (t *ConnTracker) closeIdleConns() {
	for _, conn := range t.all() {
		mayClose := func() bool {
			return conn.betweenRequests() &&
				(conn.responsesFinished > 0 || time.Since(conn.openedAt) >= SilenceGracePeriod)
		}
		if conn.markClosing(mayClose) {
			conn.closeWithReason(reasonShutdownIdle)
		}
	}
}

// all returns the open connections, except those that are about to be closed.
func (t *ConnTracker) all() []*Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.queues.all()
}

// empty reports whether no connection is open.
func (t *ConnTracker) empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.openConns == 0
}

// tooManyInactive reports whether there are so many inactive connections that a connection must be closed after its
// response. Otherwise an application that opens a connection for each request and keeps it open could use up its
// limited number of file descriptors and be unable to connect.
func (t *ConnTracker) tooManyInactive() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.queues.inactiveCount() >= t.maxConns/inactiveDivisor
}

// handleStateChange is the ConnState hook of http.Server. It moves a connection to the queue of its new state.
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
		conn.memory.ShrinkTo(memory.Heads, 0)
		t.queues.move(conn, &t.queues.idleConns)
	}
}

// waitUntilEmpty waits until no connection is open or ctx ends.
func (t *ConnTracker) waitUntilEmpty(ctx context.Context) {
	for ctx.Err() == nil && !t.empty() {
		timing.Sleep(ctx, drainPollInterval)
	}
}
