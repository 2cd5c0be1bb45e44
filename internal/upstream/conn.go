package upstream

import (
	"net"
	"syscall"
	"time"

	"cindersaddle/internal/fault"
	"cindersaddle/internal/http1"
	"cindersaddle/internal/socket"
)

// endpointConn is a connection to an endpoint. It carries one request at a time, and the goroutine of that request owns it.
type endpointConn struct {
	net.Conn
	reader    http1.ResponseReader
	endpoint  *Endpoint
	address   *string   // Endpoint.Address when the connection was opened
	idleSince time.Time // when it became idle
}

// newEndpointConn wraps a connection that was just opened to an address of the endpoint.
func newEndpointConn(conn net.Conn, endpoint *Endpoint, address *string) *endpointConn {
	c := &endpointConn{Conn: conn, endpoint: endpoint, address: address}
	c.reader = http1.NewResponseReader(c)
	return c
}

// Read implements net.Conn. It retries after transient errors.
func (c *endpointConn) Read(buffer []byte) (int, error) {
	return socket.ReadConn(c.Conn, buffer, fault.Receive)
}

// Write implements net.Conn. It retries after transient errors. With an error, it returns how many bytes the kernel
// accepted.
func (c *endpointConn) Write(data []byte) (int, error) {
	return socket.WriteConn(c.Conn, data, fault.Send)
}

// writeWithStallLimit writes data for which the endpoint may take long. See socket.WriteWithStallLimit.
func (c *endpointConn) writeWithStallLimit(data []byte, limit socket.StallLimit) error {
	_, err := socket.WriteWithStallLimit(c.Conn, data, fault.Send, limit)
	return err
}

// unacknowledged returns how many of the written bytes the endpoint's machine has not acknowledged, or UnknownQueueLength.
func (c *endpointConn) unacknowledged() int {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return UnknownQueueLength
	}
	count, err := socket.Unacknowledged(raw)
	if err != nil {
		return UnknownQueueLength
	}
	return count
}

// discardUnsent makes Close reset the connection if bytes may be left that the endpoint's machine has not acknowledged.
// Otherwise the kernel would go on delivering them, for minutes if necessary, and the endpoint could execute a request that
// was given up.
func (c *endpointConn) discardUnsent() {
	if c.unacknowledged() == 0 {
		return
	}
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		tcp.SetLinger(0)
	}
}

// stale reports whether the endpoint has restarted or moved since the connection was opened. A stale connection leads to a
// previous incarnation of the endpoint, although it may still appear to be open.
func (c *endpointConn) stale() bool { return c.address != c.endpoint.Address.Load() }

// healthy reports whether an idle connection is open and has no unread bytes.
func (c *endpointConn) healthy() bool {
	raw, ok := c.Conn.(syscall.Conn)
	return ok && socket.Peek(raw) == socket.Silent
}

// reusableAfter reports whether the connection may carry another request after a response that was read completely. If
// bytes follow the response, it must not: they would be read as the next response, so that a client would receive the
// response to another request.
func (c *endpointConn) reusableAfter(response http1.Response) bool {
	return !response.Head.Close && c.reader.Buffered() == 0
}
