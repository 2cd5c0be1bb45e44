package downstream

import (
	"errors"

	"cindersaddle/internal/exchange"
	"cindersaddle/internal/socket"
)

var (
	// ErrSurplus means that bytes arrived after a request that awaits its response. Clients read its text.
	ErrSurplus = errors.New("more than the request that was announced")
	// ErrClientDisconnected means that the client closed or reset its connection.
	ErrClientDisconnected = errors.New("client closed its connection")
)

// MarkAwaitingResponse records that the request with this number is complete and awaits its response; it does not wait
// for it. Later bytes are surplus: a client sends one request at a time, so they mean that the length of the request is
// wrong or that it hides another one.
//
// It returns exchange.ErrNoLongerAwaited if the response has been decided already, ErrSurplus if bytes have arrived after
// the request, and ErrClientDisconnected if the client has closed its connection. Any goroutine may call it.
func (c *Conn) MarkAwaitingResponse(number int64) error {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.responsesStarted >= number {
		return exchange.ErrNoLongerAwaited
	}
	state := socket.Peek(c.TCPConn)
	if c.trailingDataAfter(number) || state == socket.Readable {
		return ErrSurplus
	}
	if state == socket.Closed {
		return ErrClientDisconnected
	}
	c.awaitingResponse = true
	return nil
}

// startResponse records that the response to the current request is about to be written. From now on, bytes belong to
// the next request. It reports whether bytes have arrived after the current one: the connection has to end with the
// response then. Only the serving goroutine may call it.
func (c *Conn) startResponse() (surplus bool) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.awaitingResponse = false
	c.responsesStarted = c.requestCount
	return c.trailingDataAfter(c.requestCount) || socket.Peek(c.TCPConn) == socket.Readable
}

// trailingDataAfter reports whether bytes were read after the request with this number. The caller holds readMu.
func (c *Conn) trailingDataAfter(number int64) bool {
	return c.trailingBytes > 0 || c.scanner.Started.Load() > number
}

// finishResponse records that a response was written completely.
func (c *Conn) finishResponse() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.responsesFinished++
}

// CheckClientDisconnected discards the bytes that follow a request that awaits its response, and reports whether the client
// has closed or reset its connection: the end of the stream comes after those bytes. If no request awaits its response, it
// discards nothing. Any goroutine may call it, at the same time as Read.
func (c *Conn) CheckClientDisconnected() bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	state := socket.Peek(c.TCPConn)
	if state != socket.Readable || !c.awaitingResponse {
		return state == socket.Closed
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	var endOfStream error
	err = raw.Control(func(fd uintptr) {
		_, endOfStream = c.discardTrailingData(int(fd))
	})
	return err != nil || endOfStream != nil && !socket.Transient(endOfStream)
}
