package standin

import (
	"bufio"
	"net"
	"sync"
	"time"
)

const (
	// responseGrace is how long after the deadline a client waits for a response before it records that none came.
	responseGrace = 700 * time.Millisecond
	// connectTimeout limits how long a client takes to connect to the sidecar.
	connectTimeout = time.Second
)

// Client is an application that sends requests to one sidecar over persistent connections. It is safe for concurrent
// use.
type Client struct {
	address string

	mu        sync.Mutex
	idle      []*clientConn // the most recently used one is last and is reused first
	exchanges []Exchange
}

// clientConn is a connection of a client with the buffered reader of its responses.
type clientConn struct {
	net.Conn
	reader            *bufio.Reader
	hasCarriedRequest bool // set when the first request on it begins
}

// NewClient returns a client of the sidecar at an address. It connects when it sends the first request.
func NewClient(address string) *Client { return &Client{address: address} }

// Exchanges returns the exchanges that have ended.
func (c *Client) Exchanges() []Exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Exchange(nil), c.exchanges...)
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

// Do sends a request and returns the exchange. The sidecar may close a persistent connection while the next request is
// on its way to it. If a reused connection ends before any byte of a response, Do therefore sends the request once
// more, on a new connection, and records both exchanges.
func (c *Client) Do(request Request) Exchange {
	exchange := c.doOnce(request, c.idleOrNewConn)
	if exchange.ReusedConn && (exchange.Outcome == ExchangeClosed || exchange.Outcome == ExchangeNotSent) {
		exchange = c.doOnce(request, c.newConn)
	}
	return exchange
}

// doOnce sends a request once, on a connection that connect returns, and records the exchange.
func (c *Client) doOnce(request Request, connect func() (*clientConn, error)) Exchange {
	exchange := Exchange{Request: request, BeganAt: time.Now()}
	if conn, err := connect(); err != nil {
		exchange.setOutcome(ExchangeNotSent, err)
	} else {
		c.doOnConn(conn, &exchange)
	}
	exchange.EndedAt = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchanges = append(c.exchanges, exchange)
	return exchange
}

// doOnConn sends the request of an exchange on a connection and sets its outcome. A connection that can be reused
// becomes idle, any other one is closed.
func (c *Client) doOnConn(conn *clientConn, exchange *Exchange) {
	exchange.ReusedConn = conn.hasCarriedRequest
	conn.hasCarriedRequest = true
	conn.SetDeadline(time.Now().Add(exchange.Deadline + responseGrace))
	if err := exchange.writeRequest(conn); err != nil {
		exchange.setOutcome(ExchangeNotSent, err)
		conn.Close()
		return
	}
	exchange.SentAt = time.Now()
	conn.SetDeadline(exchange.SentAt.Add(exchange.Deadline + responseGrace))
	if exchange.DisconnectAfter > 0 {
		conn.SetReadDeadline(exchange.SentAt.Add(exchange.DisconnectAfter))
	}
	if !exchange.readResponse(conn) {
		conn.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

// idleOrNewConn returns an idle connection, or a new one if there is none.
func (c *Client) idleOrNewConn() (*clientConn, error) {
	c.mu.Lock()
	last := len(c.idle) - 1
	if last < 0 {
		c.mu.Unlock()
		return c.newConn()
	}
	defer c.mu.Unlock()
	conn := c.idle[last]
	c.idle = c.idle[:last]
	return conn, nil
}

// newConn opens a connection to the sidecar.
func (c *Client) newConn() (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", c.address, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}
