package upstream

import (
	"context"
	"sync"
	"time"

	"cindersaddle/internal/memory"
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	ConnectTimeout time.Duration // maximum time for opening a connection
	IdleTimeout    time.Duration // how long a connection may be idle before Run closes it
	// ReuseDelay is how long a connection must have been idle before it is reused. It keeps a client from receiving the
	// response to another request: a stray response that an endpoint sends after the complete one arrives during the delay,
	// and a connection with unread bytes is not reused.
	ReuseDelay time.Duration
	MaxConns   int // limit on the connections in use, idle and being opened
	// Memory is the budget that the connections count against; nil means no limit.
	Memory *memory.Budget
}

// connBytes is what a connection takes in memory, in bytes.
const connBytes = 6 << 10

// Pool opens connections to endpoints up to a limit and keeps idle ones for reuse. It is safe for concurrent use.
type Pool struct {
	connectTimeout time.Duration
	idleTimeout    time.Duration
	reuseDelay     time.Duration
	afterDial      func() // test hook, called after a connection is opened; may be nil
	memory         *memory.Reservation

	mu        sync.Mutex
	maxConns  int       // limit of openConns
	openConns int       // connections in use, idle and being opened
	idle      idleConns // connections that carry no request
}

// NewPool returns an empty pool.
func NewPool(config PoolConfig) *Pool {
	return &Pool{
		connectTimeout: config.ConnectTimeout,
		idleTimeout:    config.IdleTimeout,
		reuseDelay:     config.ReuseDelay,
		maxConns:       config.MaxConns,
		memory:         config.Memory.NewReservation(),
		idle:           idleConns{},
	}
}

// get returns an idle connection that is still open, or a new one. The error wraps a *connLimitError or is a
// *connectError. It does not count against the endpoint if it wraps errNoSocket.
func (p *Pool) get(ctx context.Context, endpoint *Endpoint, deadline time.Time) (*endpointConn, error) {
	if conn := p.takeHealthy(endpoint); conn != nil {
		return conn, nil
	}
	for {
		conn, err := p.connect(ctx, endpoint, deadline)
		if err != nil || !conn.stale() {
			return conn, err
		}
		p.closeConn(conn) // the endpoint moved or restarted in the meantime; nothing was sent yet
	}
}

// takeHealthy takes an idle connection that is still usable, or returns nil if there is none. It closes the stale and
// dead connections that it finds on the way. An endpoint may have closed an idle connection or lost it in a crash,
// which the kernel can report before a request is written. A request written to such a connection would end with a
// reset, which does not show whether the request was executed, so a non-idempotent request could not be retried.
func (p *Pool) takeHealthy(endpoint *Endpoint) *endpointConn {
	for {
		conn := p.takeIdle(endpoint)
		if conn == nil || !conn.stale() && conn.healthy() {
			return conn
		}
		p.closeConn(conn)
	}
}

// takeIdle takes the most recently used connection that has been idle for reuseDelay, or returns nil if there is none.
func (p *Pool) takeIdle(endpoint *Endpoint) *endpointConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idle.takeMostRecent(endpoint, p.reuseDelay)
}

// put returns a connection to the pool as idle, or closes it if its endpoint is closed or has changed.
func (p *Pool) put(conn *endpointConn) {
	conn.SetDeadline(time.Time{})
	conn.idleSince = time.Now()
	if !p.addIdle(conn) {
		p.closeConn(conn)
	}
}

// addIdle adds a connection to the idle ones and reports true, unless its endpoint is closed or has changed. It checks that
// while it holds mu, which CloseIdle locks after such a change: the connection is either rejected here or closed there.
func (p *Pool) addIdle(conn *endpointConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn.endpoint.Closed.Load() || conn.stale() {
		return false
	}
	p.idle.add(conn)
	return true
}

// closeConn closes a connection and releases its reservation.
func (p *Pool) closeConn(conn *endpointConn) {
	conn.Close()
	p.releaseReservation()
}

// reserveConn reserves one more connection in openConns. At the limit, it closes an idle connection, or returns a
// connLimitError if there is none.
func (p *Pool) reserveConn() error {
	for {
		limit, reserved := p.tryReserveConn()
		if reserved {
			return nil
		}
		if !p.Evict() {
			return &connLimitError{Limit: limit}
		}
	}
}

// tryReserveConn reserves one more connection unless the limit is reached, and returns the limit.
func (p *Pool) tryReserveConn() (limit int, reserved bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openConns >= p.maxConns {
		return p.maxConns, false
	}
	p.openConns++
	p.memory.Add(memory.Connections, connBytes)
	return p.maxConns, true
}

// releaseReservation subtracts one connection from openConns.
func (p *Pool) releaseReservation() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConns--
	p.memory.ShrinkTo(memory.Connections, p.openConns*connBytes)
}
