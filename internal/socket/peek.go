package socket

import (
	"syscall"

	"cindersaddle/internal/fault"
)

// State is the state of the receiving side of a connection.
type State int

const (
	// Closed means that either side has closed or reset the connection, and that no bytes can be read before its end.
	Closed State = iota
	// Readable means that bytes can be read.
	Readable
	// Silent means that the connection is open and no bytes can be read.
	Silent
	// Unknown means that the kernel had too little memory to report the state.
	Unknown
)

// Peek returns the state of a connection. It neither consumes bytes nor blocks.
func Peek(conn syscall.Conn) State {
	raw, err := conn.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	raw.Control(func(fd uintptr) { state = peekDescriptor(int(fd)) }) // fails if this side has closed the connection
	return state
}

// peekDescriptor returns the state of a descriptor. A transient error must not be mistaken for a closed connection,
// or the client would never get its response. An interrupted call is therefore repeated, and the result for a lack of
// memory is Unknown.
func peekDescriptor(fd int) State {
	for {
		var buffer [1]byte
		n, err := peekOnce(fd, buffer[:])
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return Silent
		case err == nil && n > 0:
			return Readable
		case Transient(err):
			return Unknown
		}
		return Closed
	}
}

// peekOnce receives the next bytes without consuming them or blocking. The error is a syscall.Errno.
func peekOnce(fd int, buffer []byte) (int, error) {
	if err := fault.InjectedError(fault.Peek); err != nil {
		return 0, err
	}
	n, _, err := syscall.Recvfrom(fd, buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
