package socket

import (
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unread returns how many bytes have arrived on a TCP connection and have not been read.
func Unread(conn syscall.Conn) (count int, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, fmt.Errorf("read length of the receive queue: %w", err)
	}
	controlErr := raw.Control(func(fd uintptr) { count, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	if controlErr != nil { // this side has closed the connection
		err = controlErr
	}
	if err != nil {
		return 0, fmt.Errorf("read length of the receive queue: %w", err)
	}
	return count, nil
}
