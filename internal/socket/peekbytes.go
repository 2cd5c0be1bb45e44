package socket

import "syscall"

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
		n, err := peekOnce(fd, buffer)
		if err == nil {
			return n
		}
		if err != syscall.EINTR {
			return 0
		}
	}
}
