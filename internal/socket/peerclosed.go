package socket

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// peerClosedEvents are the events of poll that show that the peer has closed its side of the connection or reset it.
const peerClosedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// PeerClosed reports whether the end of a connection has arrived from its peer, also behind bytes that have not been read, which
// Peek does not see. It returns false if the kernel does not say.
func PeerClosed(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	raw.Control(func(fd uintptr) { // fails if this side has closed the connection
		descriptors := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if count, err := unix.Poll(descriptors, 0); err == nil && count > 0 {
			closed = descriptors[0].Revents&peerClosedEvents != 0
		}
	})
	return closed
}
