package socket

import (
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"

	"cindersaddle/internal/fault"
)

// Unacknowledged returns how many of the bytes that were written to a TCP connection its peer has not acknowledged. The
// kernel may still deliver them. Acknowledged bytes have reached the machine of the peer, but its program may not have
// read them yet.
func Unacknowledged(conn syscall.Conn) (count int, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, fmt.Errorf("read length of the send queue: %w", err)
	}
	controlErr := raw.Control(func(fd uintptr) { count, err = sendQueueLength(int(fd)) })
	if controlErr != nil { // this side has closed the connection
		err = controlErr
	}
	if err != nil {
		return 0, fmt.Errorf("read length of the send queue: %w", err)
	}
	return count, nil
}

// sendQueueLength makes one call for the length of the send queue, and repeats it if a signal interrupts it.
func sendQueueLength(fd int) (int, error) {
	for {
		if err := fault.InjectedError(fault.SendQueue); err == syscall.EINTR {
			continue
		} else if err != nil {
			return 0, err
		}
		count, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		if err != syscall.EINTR {
			return count, err
		}
	}
}
