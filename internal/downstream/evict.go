package downstream

import (
	"slices"
	"time"
)

const (
	// MinIdleBeforeClose is how long a connection without a request must exist before it may be closed. It is closed
	// earlier only if a new connection could not be admitted otherwise.
	MinIdleBeforeClose = 2 * time.Second
	// maxVictimChecks bounds the system calls of one search for a connection to evict, for each group of candidates.
	maxVictimChecks = 32
)

// Evict closes the connection whose loss does the least harm, and reports whether there was one to close.
func (t *ConnTracker) Evict() bool {
	t.mu.Lock()
	victim := t.takeVictim(time.Now())
	t.mu.Unlock()
	if victim == nil {
		return false
	}
	victim.closeWithReason(reasonEvicted)
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

// takeVictim marks the connection whose loss does the least harm as closing, takes it out of its queue and returns it; the
// caller has to close it. It returns nil if all have complete requests. In this order:
//  1. one that has been silent without a complete request for MinIdleBeforeClose;
//  2. one between two requests, as its client can connect again;
//  3. the one that has been silent for longest without a complete request: a client that writes slowly goes on writing,
//     while one that never finishes its request stalls at some point.
//
// The caller holds mu.
func (t *ConnTracker) takeVictim(now time.Time) *Conn {
	overdue, recent := splitBySilentTime(t.queues.possiblyStalled(), now)
	idle := connsOf(&t.queues.idleConns)
	for _, candidates := range [][]*Conn{overdue, idle, recent} {
		if victim := markFirstClosable(candidates); victim != nil {
			t.queues.remove(victim)
			return victim
		}
	}
	return nil
}

// splitBySilentTime splits connections, of which the one that has been silent for longest is the first, into those that
// have been silent for MinIdleBeforeClose and the others.
func splitBySilentTime(conns []*Conn, now time.Time) (overdue, recent []*Conn) {
	isRecent := func(conn *Conn) bool { return now.Sub(conn.lastActivity()) < MinIdleBeforeClose }
	firstRecent := slices.IndexFunc(conns, isRecent)
	if firstRecent < 0 {
		return conns, nil
	}
	return conns[:firstRecent], conns[firstRecent:]
}

// markFirstClosable marks the first of the candidates that may be closed as closing and returns it, or returns nil. It
// examines at most maxVictimChecks of them.
func markFirstClosable(candidates []*Conn) *Conn {
	for _, conn := range candidates[:min(len(candidates), maxVictimChecks)] {
		if conn.markClosingIfNoRequest() {
			return conn
		}
	}
	return nil
}
