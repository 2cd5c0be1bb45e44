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
	// maxTrailingBytes is how many bytes may be discarded after a request that awaits its response. A client that sends
	// more is treated as disconnected: a request with a wrong length cannot leave more bytes than a buffered body has.
	maxTrailingBytes = http1.MaxBufferedBody
	// discardBufferSize is the maximum number of bytes that one read discards.
	discardBufferSize = 512
)

// errTooMuchTrailingData is returned by a read once more than maxTrailingBytes bytes were discarded.
var errTooMuchTrailingData = fmt.Errorf("more than %d bytes after a request that awaits its response", maxTrailingBytes)

// discardTrailingData reads and discards all bytes that have arrived after a request that awaits its response. It
// returns false and no error if the client may send more, and otherwise true and an error, which is io.EOF if the
// client has closed the connection. The caller holds readMu.
//
// These bytes are not passed on, because net/http would then stop watching for the end of the connection, and the
// request could be executed although its client has disconnected.
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
