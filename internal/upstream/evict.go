package upstream

import (
	"context"
	"time"
)

const (
	// idleChecksPerTimeout is the number of times that Run checks for expired connections during one idle timeout.
	idleChecksPerTimeout = 20
	// minIdleCheckInterval is the minimum interval between these checks, which applies if the idle timeout is short.
	minIdleCheckInterval = time.Millisecond
)

// Run closes connections that have been idle for idleTimeout. It returns when ctx is done.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(max(p.idleTimeout/idleChecksPerTimeout, minIdleCheckInterval))
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			p.closeIdleWhere(func(conn *endpointConn) bool { return now.Sub(conn.idleSince) >= p.idleTimeout })
		case <-ctx.Done():
			return
		}
	}
}

// SetLimit changes the maximum number of connections. If more are open, it closes idle ones down to the limit.
func (p *Pool) SetLimit(maxConns int) {
	p.mu.Lock()
	p.maxConns = maxConns
	excess := p.openConns - maxConns
	p.mu.Unlock()
	for ; excess > 0 && p.Evict(); excess-- {
	}
}

// Evict closes the connection that has been idle longest. It reports false if there is no idle connection.
func (p *Pool) Evict() bool {
	p.mu.Lock()
	longestIdle := p.idle.takeLongestIdle()
	p.mu.Unlock()
	if longestIdle == nil {
		return false
	}
	p.closeConn(longestIdle)
	return true
}

// CloseIdle closes the idle connections to an endpoint.
func (p *Pool) CloseIdle(endpoint *Endpoint) {
	p.closeIdleWhere(func(conn *endpointConn) bool { return conn.endpoint == endpoint })
}

// CloseAll closes all idle connections.
func (p *Pool) CloseAll() {
	p.closeIdleWhere(func(*endpointConn) bool { return true })
}

// closeIdleWhere closes the idle connections that match.
func (p *Pool) closeIdleWhere(match func(*endpointConn) bool) {
	p.mu.Lock()
	removed := p.idle.takeWhere(match)
	p.mu.Unlock()
	for _, conn := range removed {
		p.closeConn(conn)
	}
}
