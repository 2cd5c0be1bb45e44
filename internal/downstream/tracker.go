package downstream

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"cindersaddle/internal/timing"
)

const (
	// MinIdleBeforeClose is how long a connection without a request must exist before it may be closed. It is closed
	// earlier only if a new connection would have to be rejected otherwise.
	MinIdleBeforeClose = 2 * time.Second
	// idleDivisor bounds the connections that stay open for another request: one idleDivisor-th of the limit.
	idleDivisor = 4
	// maxVictimChecks bounds the system calls of one search for a connection to evict, for each group of candidates.
	maxVictimChecks = 32
)

// ConnTracker limits the number of open connections of the application. Without a limit, connections that stay open and
// send nothing would use up all descriptors, and no other client would be served. Its methods may be called by any
// goroutine.
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
		victim.closeFor(reasonEvicted)
	}
	if !admitted {
		conn.closeFor(reasonNotAdmitted)
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
		victim = t.chooseVictim(time.Now())
		if victim == nil {
			return false, nil
		}
	}
	t.queues.move(conn, &t.queues.fresh)
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

// SetLimit changes the number of connections that may be open. It evicts those beyond the limit, except connections
// with complete requests.
func (t *ConnTracker) SetLimit(maxConns int) {
	t.mu.Lock()
	t.maxConns = maxConns
	excess := t.open - maxConns
	t.mu.Unlock()
	for excess > 0 && t.Evict() {
		excess--
	}
}

// closeWithoutRequest closes the connections without a complete request.
func (t *ConnTracker) closeWithoutRequest() {
	for _, conn := range t.all() {
		if conn.markClosingWithoutRequest() {
			conn.closeFor(reasonShutdownLimit)
		}
	}
}

// closeIdle closes the connections between two requests, and those that have been open without a request for
// MinIdleBeforeClose.
func (t *ConnTracker) closeIdle() {
	for _, conn := range t.all() {
		mayClose := func() bool {
			return conn.betweenRequests() && (conn.responsesFinished > 0 || time.Since(conn.openedAt) >= MinIdleBeforeClose)
		}
		if conn.markClosing(mayClose) {
			conn.closeFor(reasonShutdownIdle)
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

// crowded reports whether so many connections wait for a request that no more may stay open after their response. The
// application has a limited number of descriptors too: clients that send one request and keep their connections open
// would use them up, and other clients could not connect.
func (t *ConnTracker) crowded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.queues.waiting() >= t.maxConns/idleDivisor
}

// Evict closes the connection whose loss does the least harm, and reports whether there was one to close.
func (t *ConnTracker) Evict() bool {
	t.mu.Lock()
	victim := t.chooseVictim(time.Now())
	t.mu.Unlock()
	if victim == nil {
		return false
	}
	victim.closeFor(reasonEvicted)
	return true
}

// chooseVictim returns the connection whose loss does the least harm, or nil if all have complete requests. It prefers
// one that has been silent without a complete request for MinIdleBeforeClose; then one between two requests, whose
// client connects again; then the one that has been silent for longest without a complete request. Clients that never
// finish a request stall at some point, while one that writes slowly goes on writing.
//
// The victim leaves its queue, and the caller has to close it. The caller holds mu.
func (t *ConnTracker) chooseVictim(now time.Time) *Conn {
	overdue, recent := splitBySilence(t.queues.stalled(), now)
	idle := connsOf(&t.queues.idle)
	for _, candidates := range [][]*Conn{overdue, idle, recent} {
		if victim := firstClosable(candidates); victim != nil {
			t.queues.remove(victim)
			return victim
		}
	}
	return nil
}

// splitBySilence splits connections, of which the one that has been silent for longest is the first, into those that
// have been silent for MinIdleBeforeClose and the others.
func splitBySilence(conns []*Conn, now time.Time) (overdue, recent []*Conn) {
	isRecent := func(conn *Conn) bool { return now.Sub(conn.lastActivity()) < MinIdleBeforeClose }
	firstRecent := slices.IndexFunc(conns, isRecent)
	if firstRecent < 0 {
		return conns, nil
	}
	return conns[:firstRecent], conns[firstRecent:]
}

// firstClosable marks the first of the candidates that may be closed as closing and returns it, or returns nil. It
// examines at most maxVictimChecks of them.
func firstClosable(candidates []*Conn) *Conn {
	for _, conn := range candidates[:min(len(candidates), maxVictimChecks)] {
		if conn.markClosingWithoutRequest() {
			return conn
		}
	}
	return nil
}

// trackState is the ConnState hook of http.Server. It moves connections between the queues.
func (t *ConnTracker) trackState(netConn net.Conn, state http.ConnState) {
	conn, ok := netConn.(*Conn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateActive:
		t.queues.move(conn, &t.queues.active)
	case http.StateIdle:
		conn.finishResponse()
		t.queues.move(conn, &t.queues.idle)
	}
}

// waitEmpty returns when no connection is open, or when ctx ends.
func (t *ConnTracker) waitEmpty(ctx context.Context) {
	for ctx.Err() == nil && !t.empty() {
		timing.Sleep(ctx, drainPollInterval)
	}
}
