package downstream

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"cindersaddle/internal/socket"
)

// readMode says what Conn.Read does with the bytes that the client sends.
type readMode int

const (
	// readModeForward passes bytes on to net/http.
	readModeForward readMode = iota
	// readModeDiscard discards bytes, because a complete request awaits its response.
	readModeDiscard
	// readModeFailed returns the framing error of the last request.
	readModeFailed
	// readModeClosing reads nothing, because the connection is about to be closed.
	readModeClosing
)

// Read reads the bytes of requests. If the framing of a request is ambiguous, it returns the scanner's error, which is
// not a net.Error, so that net/http responds with status 400. If the connection is about to be closed, it returns an
// error that wraps net.ErrClosed.
func (c *Conn) Read(buffer []byte) (n int, err error) {
	if c.tracker.BeforeRead != nil {
		c.tracker.BeforeRead(c.RemoteAddr())
	}
	for {
		n, err = c.readWhenReady(buffer)
		if n > 0 || !socket.Transient(err) {
			break
		}
		time.Sleep(socket.RetryDelay)
	}
	if n > 0 && c.tracker.AfterRead != nil {
		c.tracker.AfterRead()
	}
	if refusal := c.checkHead(err); refusal != nil {
		n, err = 0, c.refuseHead(refusal)
	}
	if err != nil {
		err = c.wrapReadError(err)
		c.record.setReadError(err)
	}
	return n, err
}

// wrapReadError converts the error of a read to one that net/http handles correctly: after a *net.OpError it writes no
// response, after io.EOF it ends the request, and after a scanner error it responds with status 400.
func (c *Conn) wrapReadError(err error) error {
	if err == io.EOF || err == c.scanner.Err {
		return err
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// readWhenReady waits until the connection is readable and reads once. In readModeDiscard it waits until a read fails,
// for instance because the client has closed the connection.
func (c *Conn) readWhenReady(buffer []byte) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var emptySince time.Time
	waitErr := raw.Read(func(fd uintptr) bool {
		if !emptySince.IsZero() {
			c.noteEmpty(emptySince, time.Now())
		}
		var done bool
		n, done, err = c.tryRead(int(fd), buffer)
		emptySince = time.Now()
		return done
	})
	if waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// tryRead reads without blocking. If done is false, it must be called again when more bytes arrive.
func (c *Conn) tryRead(fd int, buffer []byte) (n int, done bool, err error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	switch c.currentReadMode() {
	case readModeClosing:
		return 0, true, net.ErrClosed
	case readModeFailed:
		return 0, true, c.scanner.Err
	case readModeDiscard:
		done, err = c.discardTrailingData(fd)
		return 0, done, err
	}
	n, err = socket.Read(fd, buffer)
	switch {
	case err == syscall.EAGAIN:
		return 0, false, nil
	case err != nil:
		return 0, true, os.NewSyscallError("read", err)
	case n == 0 && len(buffer) > 0:
		return 0, true, io.EOF
	}
	now := time.Now()
	accepted := c.scanner.Scan(buffer[:n], now)
	c.bytesRead += int64(accepted)
	c.observeArrivalLocked(now)
	if accepted == 0 && n > 0 {
		return 0, true, c.scanner.Err
	}
	return accepted, true, nil
}

// currentReadMode returns what the next read does. The caller holds readMu.
func (c *Conn) currentReadMode() readMode {
	switch {
	case c.closing:
		return readModeClosing
	case c.scanner.Err != nil:
		return readModeFailed
	case c.awaitingResponse:
		return readModeDiscard
	}
	return readModeForward
}
