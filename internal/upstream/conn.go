package upstream

import (
	"net"
	"syscall"
	"time"

	"cindersaddle/internal/fault"
	"cindersaddle/internal/http1"
	"cindersaddle/internal/socket"
)

// endpointConn is a connection to an endpoint. It carries one request at a time, whose goroutine owns it.
type endpointConn struct {
	net.Conn
	reader    http1.ResponseReader
	endpoint  *Endpoint
	address   *string   // Endpoint.Address when the connection was opened
	idleSince time.Time // of an idle one
}

// newEndpointConn returns a connection that was just opened.
func newEndpointConn(conn net.Conn, endpoint *Endpoint, address *string) *endpointConn {
	c := &endpointConn{Conn: conn, endpoint: endpoint, address: address}
	c.reader = http1.NewResponseReader(c)
	return c
}

// Read implements net.Conn.
func (c *endpointConn) Read(buffer []byte) (int, error) {
	return socket.ReadConn(c.Conn, buffer, fault.Receive)
}

// Write implements net.Conn.
func (c *endpointConn) Write(data []byte) (int, error) {
	return socket.WriteConn(c.Conn, data, fault.Send)
}

// stale reports whether the endpoint has restarted or moved since the connection was opened. Such a connection leads to an
// earlier incarnation of the endpoint, and may look open all the same.
func (c *endpointConn) stale() bool { return c.address != c.endpoint.Address.Load() }

// healthy reports whether an idle connection is open and has nothing to read, as it should be.
func (c *endpointConn) healthy() bool {
	raw, ok := c.Conn.(syscall.Conn)
	return ok && socket.Peek(raw) == socket.Silent
}

// reusableAfter reports whether the connection may carry another request after a response that was read completely. It
// guards against a client that gets the response to another request: bytes that follow a response would be read as the
// next one.
func (c *endpointConn) reusableAfter(response http1.Response) bool {
	return !response.Head.Close && c.reader.Buffered() == 0
}
