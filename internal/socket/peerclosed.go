package socket

import (
	"syscall"

	"golang.org/x/sys/unix"

	"cindersaddle/internal/fault"
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
	raw.Control(func(fd uintptr) { closed = peerClosedDescriptor(int32(fd)) }) // fails if this side has closed the connection
	return closed
}

// peerClosedDescriptor is PeerClosed for a descriptor. An interrupted call is repeated.
func peerClosedDescriptor(fd int32) bool {
	for {
		descriptors := []unix.PollFd{{Fd: fd, Events: unix.POLLRDHUP}}
		switch count, err := pollOnce(descriptors); {
		case err == syscall.EINTR:
			continue
		case err != nil || count == 0:
			return false
		}
		return descriptors[0].Revents&peerClosedEvents != 0
	}
}

// pollOnce makes one call of poll, which does not wait.
func pollOnce(descriptors []unix.PollFd) (count int, err error) {
	if err := fault.InjectedError(fault.PollPeer); err != nil {
		return 0, err
	}
	return unix.Poll(descriptors, 0)
}
