package downstream

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"cindersaddle/internal/socket"
)

// readState is what Conn.Read does with the bytes of the client.
type readState int

const (
	// readRequests passes bytes on to net/http.
	readRequests readState = iota
	// readSurplus discards bytes: a complete request awaits its response.
	readSurplus
	// readFailed returns the framing error of the last request.
	readFailed
	// readClosing reads nothing: the connection is about to be closed.
	readClosing
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
		err = c.readError(err)
		c.record.readFailed(err)
	}
	return n, err
}

// readError returns the error of a read as net/http knows it: a *net.OpError means that no response can be written, while
// it ends the request after io.EOF, and responds with status 400 after an error of the scanner.
func (c *Conn) readError(err error) error {
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
		n, done, err = c.readNow(int(fd), buffer)
		return done
	})
	if waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// readNow reads without waiting. It reports whether the read is done; if not, it has to be repeated when bytes arrive.
func (c *Conn) readNow(fd int, buffer []byte) (n int, done bool, err error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	switch c.readState() {
	case readClosing:
		return 0, true, net.ErrClosed
	case readFailed:
		return 0, true, c.scanner.Err
	case readSurplus:
		done, err = c.discardSurplus(fd)
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

// readState returns what a read has to do. The caller holds readMu.
func (c *Conn) readState() readState {
	switch {
	case c.closing:
		return readClosing
	case c.scanner.Err != nil:
		return readFailed
	case c.awaitingResponse:
		return readSurplus
	}
	return readRequests
}
