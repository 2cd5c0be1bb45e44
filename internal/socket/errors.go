package socket

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// exhaustionErrors are the errors of a machine or a process that has no descriptor, memory or port for another socket.
var exhaustionErrors = []error{
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.EADDRNOTAVAIL,
}

// transientErrors are the errors of a read or a write that say nothing of the connection: the same call can succeed
// soon after.
var transientErrors = []error{
	syscall.EINTR,
	syscall.ENOBUFS,
	syscall.ENOMEM,
}

// brokenListenerErrors are the errors of accept that say that the listener cannot be used any more. All others are those
// of the machine's resources, or of the one connection that was about to be accepted: Linux passes errors that are
// already pending on the new connection as those of accept.
var brokenListenerErrors = []error{
	net.ErrClosed,
	syscall.EBADF,
	syscall.EFAULT,
	syscall.EINVAL,
	syscall.ENOTSOCK,
}

// RetryPause is the time between two attempts of a call that failed with a transient error.
const RetryPause = time.Millisecond

// Exhausted reports whether err means that the machine or the process has no resources for another socket.
func Exhausted(err error) bool { return isAny(err, exhaustionErrors) }

// Transient reports whether a read or a write that failed with err may be repeated on the same connection.
func Transient(err error) bool { return isAny(err, transientErrors) }

// ListenerBroken reports whether err, which accept returned, means that no connection will be accepted any more.
func ListenerBroken(err error) bool { return isAny(err, brokenListenerErrors) }

// isAny reports whether err wraps one of the candidates.
func isAny(err error, candidates []error) bool {
	for _, candidate := range candidates {
		if errors.Is(err, candidate) {
			return true
		}
	}
	return false
}
