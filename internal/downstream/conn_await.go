package downstream

import (
	"errors"

	"cindersaddle/internal/exchange"
	"cindersaddle/internal/socket"
)

var (
	// ErrTrailingData means that bytes arrived after a request that awaits its response. Its text is sent to the
	// client.
	ErrTrailingData = errors.New("more than the request that was announced")
	// ErrClientDisconnected means that the client closed or reset its connection.
	ErrClientDisconnected = errors.New("client closed its connection")
)

// MarkAwaitingResponse records that the request with this number is complete and awaits its response. It does not
// block. Until the response starts, all further bytes are trailing data: clients send one request at a time, so such
// bytes mean that the declared length of the request is wrong or that another request is smuggled in it.
//
// It returns exchange.ErrUploadStopped if the response has already started, ErrTrailingData if bytes have arrived
// after the request, and ErrClientDisconnected if the client has closed its connection. It is safe for concurrent use.
func (c *Conn) MarkAwaitingResponse(requestNumber int64) error {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.lastRespondedRequest >= requestNumber {
		return exchange.ErrUploadStopped
	}
	state := socket.Peek(c.TCPConn)
	if c.trailingDataAfter(requestNumber) || state == socket.Readable {
		return ErrTrailingData
	}
	if state == socket.Closed {
		return ErrClientDisconnected
	}
	c.awaitingResponse = true
	return nil
}

// startResponse records that the response to the current request is about to be written. Bytes that are read from now
// on belong to the next request. It reports whether bytes have already arrived after the current request; the
// connection must be closed after the response then. Only the serving goroutine may call it.
func (c *Conn) startResponse() (trailingData bool) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.awaitingResponse = false
	c.lastRespondedRequest = c.requestNumber
	return c.trailingDataAfter(c.requestNumber) || socket.Peek(c.TCPConn) == socket.Readable
}

// trailingDataAfter reports whether bytes were read after the request with this number. The caller holds readMu.
func (c *Conn) trailingDataAfter(requestNumber int64) bool {
	return c.trailingBytes > 0 || c.scanner.RequestsStarted.Load() > requestNumber
}

// finishResponse records that a response was written completely.
func (c *Conn) finishResponse() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.responsesFinished++
}

// CheckClientDisconnected reports whether the client has closed or reset its connection, also behind unread bytes. If a request
// awaits its response, it discards the bytes that follow the request, because the end of the stream may wait for room behind
// them; otherwise it discards nothing. It is safe for concurrent use, also with Read.
func (c *Conn) CheckClientDisconnected() bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	state := socket.Peek(c.TCPConn)
	if state != socket.Readable {
		return state == socket.Closed
	}
	if socket.PeerClosed(c.TCPConn) {
		return true
	}
	if !c.awaitingResponse {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	var readErr error
	err = raw.Control(func(fd uintptr) {
		_, readErr = c.discardTrailingData(int(fd))
	})
	return err != nil || readErr != nil && !socket.Transient(readErr)
}
