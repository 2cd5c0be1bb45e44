package downstream

import (
	"fmt"
	"io"
	"os"
	"syscall"

	"cindersaddle/internal/http1"
	"cindersaddle/internal/socket"
)

const (
	// maxTrailingBytes is how many bytes may be discarded after a request that awaits its response. With more of them the client
	// counts as gone: a wrong length of the request cannot explain more than a buffered body.
	maxTrailingBytes = http1.MaxBufferedBody
	// discardBufferSize is the number of bytes that are discarded in one read.
	discardBufferSize = 512
)

// errTooMuchTrailingData is the error of a read after maxTrailingBytes bytes.
var errTooMuchTrailingData = fmt.Errorf("more than %d bytes after a request that awaits its response", maxTrailingBytes)

// discardTrailingData reads the bytes that follow a request that awaits its response, until none wait. It reports whether
// the read is done, which is always with an error: io.EOF if the client has closed the connection.
//
// It guards against a request that is executed for a client that has disconnected: were the first of these bytes passed on,
// net/http would stop watching the connection for its end, which comes after them. The caller holds readMu.
func (c *Conn) discardTrailingData(fd int) (done bool, err error) {
	var buffer [discardBufferSize]byte
	for c.trailingBytes <= maxTrailingBytes {
		n, err := socket.Read(fd, buffer[:])
		switch {
		case err == syscall.EAGAIN:
			return false, nil
		case err != nil:
			return true, os.NewSyscallError("read", err)
		case n == 0:
			return true, io.EOF
		}
		c.trailingBytes += n
	}
	return true, errTooMuchTrailingData
}
