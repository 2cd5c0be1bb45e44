package sidecar

import (
	"errors"
	"net"
	"syscall"
	"time"

	"cindersaddle/internal/socket"
)

const (
	// listenRetryTime is how long listening is retried. A new process has 10 s to be ready.
	listenRetryTime = 5 * time.Second
	// listenRetryPause is the time between two attempts.
	listenRetryPause = 20 * time.Millisecond
)

// listenWithRetry calls listen until it succeeds, fails with a permanent error, or listenRetryTime is over, and returns its last
// result.
//
// The process before this one may still be ending: then the address is in use, or the machine has no resources left. Without a
// retry, the new process would exit, and nobody would serve. A permanent error is reported at once.
func listenWithRetry(listen func() (net.Listener, error)) (net.Listener, error) {
	for began := time.Now(); ; time.Sleep(listenRetryPause) {
		listener, err := listen()
		if err == nil || !isTemporary(err) || time.Since(began) > listenRetryTime {
			return listener, err
		}
	}
}

// isTemporary reports whether an error of listening may pass. EADDRNOTAVAIL also means that the address is not one of this
// machine.
func isTemporary(err error) bool {
	return errors.Is(err, syscall.EADDRINUSE) || socket.Exhausted(err) && !errors.Is(err, syscall.EADDRNOTAVAIL)
}
