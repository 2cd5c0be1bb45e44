package socket

import (
	"syscall"

	"cindersaddle/internal/fault"
)

// State is the state of the receiving side of a connection.
type State int

const (
	// Closed means that the connection was closed or reset, by either side, and that no bytes wait before that.
	Closed State = iota
	// Readable means that bytes wait to be read.
	Readable
	// Silent means that the connection is open and no bytes wait.
	Silent
	// Unknown means that the kernel could not report the state, for want of memory.
	Unknown
)

// Peek returns the state of a connection without reading from it or waiting.
func Peek(conn syscall.Conn) State {
	raw, err := conn.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	raw.Control(func(fd uintptr) { state = peekDescriptor(int(fd)) }) // fails on a closed connection
	return state
}

// peekDescriptor returns the state of a descriptor. It guards against a client that never gets its response because an error
// which passes was taken for a closed connection: errors for want of memory are Unknown, and an interrupted call is repeated.
func peekDescriptor(fd int) State {
	for {
		n, err := peekOnce(fd)
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

// peekOnce asks for the next byte without consuming it or waiting. The error is a syscall.Errno.
func peekOnce(fd int) (int, error) {
	if err := fault.Injected(fault.Peek); err != nil {
		return 0, err
	}
	var buffer [1]byte
	n, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
