package downstream

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"cindersaddle/internal/socket"
)

// readMode is what Conn.Read does with the bytes of the client.
type readMode int

const (
	// readModeForward passes bytes on to net/http.
	readModeForward readMode = iota
	// readModeDiscard discards bytes: a complete request awaits its response.
	readModeDiscard
	// setReadError returns the framing error of the last request.
	readModeFailed
	// readModeClosing reads nothing: the connection is about to be closed.
	readModeClosing
)

// Read reads the bytes of requests. It returns an error of the scanner, which is not a net.Error, if the framing of a
// request is ambiguous: net/http responds with 400 then. It returns net.ErrClosed if the connection is about to be closed.
func (c *Conn) Read(buffer []byte) (n int, err error) {
	if c.tracker.BeforeRead != nil {
		c.tracker.BeforeRead(c.RemoteAddr())
	}
	for {
		n, err = c.readWhenReady(buffer)
		if n > 0 || !socket.Transient(err) {
			break
		}
		time.Sleep(socket.RetryPause)
	}
	if n > 0 && c.tracker.AfterRead != nil {
		c.tracker.AfterRead()
	}
	if err != nil {
		err = c.wrapReadError(err)
		c.record.setReadError(err)
	}
	return n, err
}

// wrapReadError returns the error of a read as net/http knows it: a *net.OpError means that no response can be written, while
// it ends the request after io.EOF, and responds with status 400 after an error of the scanner.
func (c *Conn) wrapReadError(err error) error {
	if err == io.EOF || err == c.scanner.Err {
		return err
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// readWhenReady waits until bytes or an error can be read, and reads once.
func (c *Conn) readWhenReady(buffer []byte) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	waitErr := raw.Read(func(fd uintptr) bool {
		var done bool
		n, done, err = c.tryRead(int(fd), buffer)
		return done
	})
	if waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// tryRead reads without waiting. It reports whether the read is done; if not, it has to be repeated when bytes arrive.
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
	passed := c.scanner.Scan(buffer[:n], time.Now())
	if passed == 0 && n > 0 {
		return 0, true, c.scanner.Err
	}
	return passed, true, nil
}

// readMode returns what a read has to do. The caller holds readMu.
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
