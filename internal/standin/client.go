package standin

import (
	"bufio"
	"net"
	"sync"
	"time"
)

const (
	// responseGrace is how long after its deadline a client still waits for a response before it records that none came.
	responseGrace = 700 * time.Millisecond
	// connectTimeout bounds the establishment of a connection to the sidecar.
	connectTimeout = time.Second
)

// Client is an application that uses one sidecar over persistent connections. It is safe for concurrent use.
type Client struct {
	address string

	mu        sync.Mutex
	idle      []*clientConn // the last one is used first
	exchanges []Exchange
}

// clientConn is a connection with the reader of its responses.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	used   bool // it has carried a request
}

// NewClient returns a client of the sidecar at an address.
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

// Do sends a request and returns how it ended. A persistent connection that ends before any byte of a response may have been
// closed while the request was on its way. The request is then sent once more, on a new connection, and both exchanges are
// recorded.
func (c *Client) Do(request Request) Exchange {
	exchange := c.exchange(request, c.idleOrNewConn)
	if exchange.ReusedConn && (exchange.End == ExchangeClosed || exchange.End == ExchangeNotSent) {
		exchange = c.exchange(request, c.newConn)
	}
	return exchange
}

// exchange sends a request on a connection that connect returns, and records how it ended.
func (c *Client) exchange(request Request, connect func() (*clientConn, error)) Exchange {
	exchange := Exchange{Request: request, BeganAt: time.Now()}
	if conn, err := connect(); err != nil {
		exchange.fail(ExchangeNotSent, err)
	} else {
		c.exchangeOn(conn, &exchange)
	}
	exchange.EndedAt = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchanges = append(c.exchanges, exchange)
	return exchange
}

// exchangeOn sends the request of an exchange on a connection and records its end.
func (c *Client) exchangeOn(conn *clientConn, exchange *Exchange) {
	exchange.ReusedConn = conn.used
	conn.used = true
	conn.SetDeadline(time.Now().Add(exchange.Deadline + responseGrace))
	if err := exchange.write(conn); err != nil {
		exchange.fail(ExchangeNotSent, err)
		conn.Close()
		return
	}
	exchange.SentAt = time.Now()
	conn.SetDeadline(exchange.SentAt.Add(exchange.Deadline + responseGrace))
	if exchange.LeaveAfter > 0 {
		conn.SetReadDeadline(exchange.SentAt.Add(exchange.LeaveAfter))
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

// newConn returns a new connection.
func (c *Client) newConn() (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", c.address, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}
