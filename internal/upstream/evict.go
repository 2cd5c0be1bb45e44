package upstream

import (
	"context"
	"time"
)

const (
	// idleChecksPerTimeout is how often Run looks for expired connections during one idle timeout.
	idleChecksPerTimeout = 20
	// minIdleCheckInterval bounds that for a short idle timeout.
	minIdleCheckInterval = time.Millisecond
)

// Run closes connections that have been idle for idleTimeout, until ctx ends.
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

// SetLimit changes the maximum number of connections. Idle connections are closed as far as it is exceeded.
func (p *Pool) SetLimit(maxConns int) {
	p.mu.Lock()
	p.maxConns = maxConns
	excess := p.open - maxConns
	p.mu.Unlock()
	for ; excess > 0 && p.Evict(); excess-- {
	}
}

// Evict closes the connection that has been idle for longest, and reports whether there was one.
func (p *Pool) Evict() bool {
	p.mu.Lock()
	oldest := p.idle.takeOldest()
	p.mu.Unlock()
	if oldest == nil {
		return false
	}
	p.closeConn(oldest)
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
