package socket

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// exhaustionErrors mean that the machine or the process has no descriptor, memory or port left for another socket.
var exhaustionErrors = []error{
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.EADDRNOTAVAIL,
}

// transientErrors are errors of a read or a write that do not concern the connection: the same call may succeed if
// it is repeated.
var transientErrors = []error{
	syscall.EINTR,
	syscall.ENOBUFS,
	syscall.ENOMEM,
}

// brokenListenerErrors are errors of accept that mean that the listener can no longer be used. All other errors
// concern the resources of the machine or a single connection that was about to be accepted: on Linux, accept also
// returns errors that are already pending on the new connection.
var brokenListenerErrors = []error{
	net.ErrClosed,
	syscall.EBADF,
	syscall.EFAULT,
	syscall.EINVAL,
	syscall.ENOTSOCK,
}

// RetryDelay is the time before a call that failed with a transient error is repeated.
const RetryDelay = time.Millisecond

// Exhausted reports whether err means that the machine or the process has no resources left for another socket.
func Exhausted(err error) bool { return wrapsAny(err, exhaustionErrors) }

// Transient reports whether a read or a write that failed with err may be repeated on the same connection.
func Transient(err error) bool { return wrapsAny(err, transientErrors) }

// ListenerBroken reports whether err, an error of accept, means that the listener can no longer accept connections.
func ListenerBroken(err error) bool { return wrapsAny(err, brokenListenerErrors) }

// wrapsAny reports whether err wraps one of the candidates.
func wrapsAny(err error, candidates []error) bool {
	for _, candidate := range candidates {
		if errors.Is(err, candidate) {
			return true
		}
	}
	return false
}
