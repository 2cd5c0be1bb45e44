package socket

import (
	"net"
	"syscall"

	"cindersaddle/internal/fault"
)

// Read makes one read call on a descriptor, and repeats it if a signal interrupts it. The error is a syscall.Errno:
// EAGAIN if no bytes can be read from a non-blocking descriptor. At the end of the stream n is 0 and err is nil.
func Read(fd int, buffer []byte) (n int, err error) {
	for {
		n, err = readDescriptorOnce(fd, buffer)
		if err != syscall.EINTR {
			return n, err
		}
	}
}

// readDescriptorOnce makes one read call.
func readDescriptorOnce(fd int, buffer []byte) (int, error) {
	if err := fault.InjectedError(fault.Read); err != nil {
		return 0, err
	}
	return syscall.Read(fd, buffer[:fault.TransferLimit(fault.Read, len(buffer))])
}

// Control calls f with the descriptor of a listener. It does nothing if the listener has no descriptor or is closed.
func Control(ln net.Listener, f func(fd uintptr)) {
	conn, ok := ln.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(f)
}
