package socket

import (
	"syscall"

	"cindersaddle/internal/fault"
)

// PeekBytes copies the bytes that can be read from a connection to a buffer. It neither consumes them nor blocks. ended reports
// that these are all that will ever arrive.
func PeekBytes(conn syscall.Conn, buffer []byte) (n int, ended bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, false
	}
	// The end must be checked first: bytes that arrive between the two calls are among those that are peeked.
	ended = PeerClosed(conn)
	raw.Control(func(fd uintptr) { n = peekBytes(int(fd), buffer) }) // fails if this side has closed the connection
	return n, ended && n < len(buffer)
}

// peekBytes is PeekBytes for a descriptor. It returns 0 after an error.
func peekBytes(fd int, buffer []byte) int {
	for {
		n, err := peekBytesOnce(fd, buffer)
		if err == nil {
			return n
		}
		if err != syscall.EINTR {
			return 0
		}
	}
}

// peekBytesOnce makes one system call. The error is a syscall.Errno.
func peekBytesOnce(fd int, buffer []byte) (int, error) {
	if err := fault.InjectedError(fault.Peek); err != nil {
		return 0, err
	}
	n, _, err := syscall.Recvfrom(fd, buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
