package upstream

import (
	"context"
	"sync"
	"time"
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	ConnectTimeout time.Duration // how long opening a connection may take
	IdleTimeout    time.Duration // when Run closes an idle connection
	// ReuseDelay is how long a connection must have been idle before it is used again. It guards against a client that gets
	// the response to another request: a stray response that an endpoint sends after the complete one arrives in that time,
	// and a connection on which bytes wait is not used again.
	ReuseDelay time.Duration
	MaxConns   int // limit of the connections in use, idle and being opened
}

// Pool opens connections to endpoints up to a limit and caches idle ones for further use. All methods may be called from
// any goroutine.
type Pool struct {
	connectTimeout time.Duration
	idleTimeout    time.Duration
	reuseDelay     time.Duration
	AfterDial      func() // for tests: called when a connection was opened; may be nil

	mu       sync.Mutex
	maxConns int       // limit of open
	open     int       // connections in use, idle and being opened
	idle     idleConns // the idle ones
}

// NewPool returns an empty pool.
func NewPool(config PoolConfig) *Pool {
	return &Pool{
		connectTimeout: config.ConnectTimeout,
		idleTimeout:    config.IdleTimeout,
		reuseDelay:     config.ReuseDelay,
		maxConns:       config.MaxConns,
		idle:           idleConns{},
	}
}

// get returns an idle connection that is still open, or a new one. Its errors are connLimitError and connectError; one that
// wraps errNoSocket says nothing of the endpoint.
func (p *Pool) get(ctx context.Context, endpoint *Endpoint, deadline time.Time) (*endpointConn, error) {
	if conn := p.takeHealthy(endpoint); conn != nil {
		return conn, nil
	}
	for {
		conn, err := p.connect(ctx, endpoint, deadline)
		if err != nil || !conn.stale() {
			return conn, err
		}
		p.closeConn(conn) // it moved or restarted meanwhile; nothing was sent yet
	}
}

// takeHealthy takes an idle connection and closes those found to be dead; nil: there is none. It guards against a request
// that is written to a connection which the endpoint has closed, or lost in a crash, while it was idle: the attempt would
// end as a reset, which does not show whether the request was executed, and might not be retried. The kernel knows of the
// close before the request is written.
func (p *Pool) takeHealthy(endpoint *Endpoint) *endpointConn {
	for {
		conn := p.takeIdle(endpoint)
		if conn == nil || !conn.stale() && conn.healthy() {
			return conn
		}
		p.closeConn(conn)
	}
}

// takeIdle takes the most recently used connection that has been idle for reuseDelay; nil: there is none.
func (p *Pool) takeIdle(endpoint *Endpoint) *endpointConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idle.takeLatest(endpoint, p.reuseDelay)
}

// put makes a connection idle, or closes it if its endpoint has changed.
func (p *Pool) put(conn *endpointConn) {
	conn.SetDeadline(time.Time{})
	conn.idleSince = time.Now()
	if !p.addIdle(conn) {
		p.closeConn(conn)
	}
}

// addIdle adds a connection to the idle ones unless its endpoint is closed or has changed. It checks that under the
// lock, which CloseIdle takes after such a change: the connection is either rejected here or closed there.
func (p *Pool) addIdle(conn *endpointConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn.endpoint.Closed.Load() || conn.stale() {
		return false
	}
	p.idle.add(conn)
	return true
}

// closeConn closes a connection, which no longer counts.
func (p *Pool) closeConn(conn *endpointConn) {
	conn.Close()
	p.release()
}

// reserve counts one more connection. At the limit it closes an idle one, or returns a connLimitError if there is none.
func (p *Pool) reserve() error {
	for {
		limit, reserved := p.tryReserve()
		if reserved {
			return nil
		}
		if !p.Evict() {
			return &connLimitError{Limit: limit}
		}
	}
}

// tryReserve counts one more connection unless the limit is reached, and returns the limit.
func (p *Pool) tryReserve() (limit int, reserved bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.maxConns {
		return p.maxConns, false
	}
	p.open++
	return p.maxConns, true
}

// release counts one connection less.
func (p *Pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}
