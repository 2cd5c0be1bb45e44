// Package socket reports the state of a TCP socket as the kernel knows it: whether the peer has closed it and whether
// bytes wait to be read; and it says what the errors of system calls mean, and makes those calls again whose error says
// nothing of the connection. It has no state and starts no goroutines; a socket may be examined while another goroutine
// reads from it.
package socket

import (
	"net"
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
	// Unknown means that the kernel did not tell, for want of memory.
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

// peekDescriptor takes only errors for a closed connection that mean one: a peer that is taken for closed by mistake never
// gets its response.
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

func peekOnce(fd int) (int, error) {
	if err := fault.Injected(fault.Peek); err != nil {
		return 0, err
	}
	var buffer [1]byte
	n, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// Read reads from a descriptor once, and again when a signal interrupts it. The error is a syscall.Errno: EAGAIN where
// no bytes wait on a non-blocking descriptor. At the end of the stream n is 0 and err is nil.
func Read(fd int, buffer []byte) (n int, err error) {
	for {
		n, err = readDescriptor(fd, buffer)
		if err != syscall.EINTR {
			return n, err
		}
	}
}

func readDescriptor(fd int, buffer []byte) (int, error) {
	if err := fault.Injected(fault.Read); err != nil {
		return 0, err
	}
	return syscall.Read(fd, buffer[:fault.Shortened(fault.Read, len(buffer))])
}

// Control calls do with the descriptor of a listener. It does nothing if the listener has none or is closed.
func Control(ln net.Listener, do func(fd uintptr)) {
	conn, ok := ln.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(do)
}
