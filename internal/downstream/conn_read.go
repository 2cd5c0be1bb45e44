package downstream

import (
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"cindersaddle/internal/http1"
	"cindersaddle/internal/socket"
)

const (
	// maxSurplus is how many bytes may be discarded after a request that awaits its response. More than a message can
	// hold cannot be a mistake; the connection counts as one whose client is gone then.
	maxSurplus = http1.MaxBufferedBody
	// surplusBufferSize is the number of bytes that are discarded in one read.
	surplusBufferSize = 512
)

var errTooMuchSurplus = fmt.Errorf("more than %d bytes after a request that awaits its response", maxSurplus)

// Read reads the bytes of requests. It returns an error of the scanner, which is not a net.Error, if the framing of a
// request is ambiguous: net/http answers 400 then. It returns net.ErrClosed if the connection is about to be closed.
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
	if err != nil && err != io.EOF && err != c.scanner.Err {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	}
	if err != nil {
		c.record.readFailed(err)
	}
	return n, err
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

// discardSurplus reads the bytes that follow a request that awaits its response, until none wait. It reports whether
// the read is done, which is always with an error: io.EOF if the client has closed the connection. If the first of
// these bytes were passed on, net/http would stop watching the connection, and the sidecar would notice that the client
// is gone only when it sends the request on. The caller holds readMu.
func (c *Conn) discardSurplus(fd int) (done bool, err error) {
	var buffer [surplusBufferSize]byte
	for c.surplusBytes <= maxSurplus {
		n, err := socket.Read(fd, buffer[:])
		switch {
		case err == syscall.EAGAIN:
			return false, nil
		case err != nil:
			return true, os.NewSyscallError("read", err)
		case n == 0:
			return true, io.EOF
		}
		c.surplusBytes += n
	}
	return true, errTooMuchSurplus
}

// ClientGone reports whether the client has closed or reset its connection. If a request awaits its response, it
// discards the bytes that follow the request, because the end of the stream comes after them. Any goroutine may call
// it, at the same time as Read.
func (c *Conn) ClientGone() bool {
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
		_, endOfStream = c.discardSurplus(int(fd))
	})
	return err != nil || endOfStream != nil && !socket.Transient(endOfStream)
}
