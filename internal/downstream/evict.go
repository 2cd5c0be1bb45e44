package downstream

import (
	"slices"
	"time"
)

const (
	// SilenceGracePeriod is how long a client may be silent before its first request or while it sends a request. After
	// that time its connection is the first choice of takeVictim, and a shutdown closes it if no byte of a request has
	// arrived. It is closed earlier if takeVictim finds no better victim (at the limit of connections, after SetLimit
	// has lowered that limit, or if file descriptors run out), and at the time limit of a shutdown.
	SilenceGracePeriod = 2 * time.Second
	// lingerGracePeriod is how long a connection stays open at least after its last response, if the client still sends.
	lingerGracePeriod = 50 * time.Millisecond
	// maxVictimChecks is how many connections of each group of candidates takeVictim examines. Each check takes a
	// system call.
	maxVictimChecks = 32
)

// Evict closes the connection whose loss does the least harm; see takeVictim. It returns false if no connection can be
// closed.
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

// SetLimit changes the maximum number of open connections. It evicts connections over the limit, except those with
// complete requests.
func (t *ConnTracker) SetLimit(maxConns int) {
	t.mu.Lock()
	t.maxConns = maxConns
	excess := t.openConns - maxConns
	t.mu.Unlock()
	for excess > 0 && t.Evict() {
		excess--
	}
}

// takeVictim chooses the connection whose loss does the least harm, marks it as closing, removes it from its queue and
// returns it; the caller must close it. It returns nil if no connection can be closed. The order of preference is:
//
//  1. a new connection, or one with an incomplete request, that has been silent for SilenceGracePeriod;
//  2. one whose upload has been silent for as long;
//  3. a connection whose last response was sent lingerGracePeriod ago;
//  4. an idle connection, because its client can connect again;
//  5. the new connection, or the one with an incomplete request, that has been silent for longest: a client that writes
//     slowly continues to write, while a client that never completes its request falls silent at some point.
//
// The caller holds mu.
func (t *ConnTracker) takeVictim(now time.Time) *Conn {
	longSilent, recentlyActive := splitBySilentTime(t.queues.newOrIncomplete(), now)
	idle := connsOf(&t.queues.idleConns)
	victim := markFirstClosable(longSilent)
	if victim == nil {
		victim = t.takeStalled(now)
	}
	if victim == nil {
		victim = t.queues.longestLingering(now)
	}
	if victim == nil {
		victim = markFirstClosable(idle)
	}
	if victim == nil {
		victim = markFirstClosable(recentlyActive)
	}
	if victim != nil {
		t.queues.remove(victim)
	}
	return victim
}

// EvictStalled closes a connection whose client has been silent in the middle of a request for SilenceGracePeriod. It returns
// false if there is none.
func (t *ConnTracker) EvictStalled() bool {
	t.mu.Lock()
	victim := t.takeStalled(time.Now())
	t.mu.Unlock()
	if victim == nil {
		return false
	}
	victim.closeWithReason(reasonStalled)
	return true
}

// takeStalled returns a connection whose client has been silent in the middle of a request for SilenceGracePeriod, after removing
// it from its queue and marking it as closing, or nil. The caller holds mu.
func (t *ConnTracker) takeStalled(now time.Time) *Conn {
	checks := 0
	for _, conn := range t.queues.all() {
		if !conn.stalled(now) {
			continue
		}
		if conn.markClosingIfStalled(now) {
			t.queues.remove(conn)
			return conn
		}
		if checks++; checks == maxVictimChecks {
			break
		}
	}
	return nil
}

// splitBySilentTime splits connections into those that have been silent for at least SilenceGracePeriod and the others.
// conns must be in the order of last activity, the longest silent connection first.
func splitBySilentTime(conns []*Conn, now time.Time) (longSilent, recentlyActive []*Conn) {
	isRecent := func(conn *Conn) bool { return now.Sub(conn.lastActivity()) < SilenceGracePeriod }
	firstRecent := slices.IndexFunc(conns, isRecent)
	if firstRecent < 0 {
		return conns, nil
	}
	return conns[:firstRecent], conns[firstRecent:]
}

// markFirstClosable returns the first of the candidates that may be closed, after marking it as closing, or nil if
// there is none. It examines at most maxVictimChecks candidates.
func markFirstClosable(candidates []*Conn) *Conn {
	for _, conn := range candidates[:min(len(candidates), maxVictimChecks)] {
		if conn.markClosingIfNoRequest() {
			return conn
		}
	}
	return nil
}
