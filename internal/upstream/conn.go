package upstream

import (
	"net"
	"syscall"
	"time"

	"cindersaddle/internal/fault"
	"cindersaddle/internal/http1"
	"cindersaddle/internal/socket"
)

// serverConn is a connection to an endpoint. It carries one request at a time, and belongs to its goroutine.
type serverConn struct {
	net.Conn
	reader    http1.ResponseReader
	endpoint  *Endpoint
	address   *string   // Endpoint.Address when the connection was opened
	idleSince time.Time // of an idle one
}

// newServerConn returns a connection that was just opened.
func newServerConn(conn net.Conn, endpoint *Endpoint, address *string) *serverConn {
	c := &serverConn{Conn: conn, endpoint: endpoint, address: address}
	c.reader = http1.NewResponseReader(c)
	return c
}

// Read implements net.Conn.
func (c *serverConn) Read(buffer []byte) (int, error) {
	return socket.ReadConn(c.Conn, buffer, fault.Receive)
}

// Write implements net.Conn.
func (c *serverConn) Write(data []byte) (int, error) {
	return socket.WriteConn(c.Conn, data, fault.Send)
}

// stale reports whether the server has restarted or moved since the connection was opened: it leads to the old one, and
// may look open all the same.
func (c *serverConn) stale() bool { return c.address != c.endpoint.Address.Load() }

// healthy reports whether an idle connection is open and has nothing to read, as it should be.
func (c *serverConn) healthy() bool {
	raw, ok := c.Conn.(syscall.Conn)
	return ok && socket.Peek(raw) == socket.Silent
}

// reusableAfter reports whether the connection may carry another request after a response that was read completely.
// Bytes that follow the response would be read as the next one.
func (c *serverConn) reusableAfter(response http1.Response) bool {
	return !response.Head.Close && c.reader.Buffered() == 0
}
