package sidecar

import (
	"errors"
	"net"
	"syscall"
	"time"

	"cindersaddle/internal/socket"
)

const (
	// listenPatience is how long an address is tried that is in use, or while the machine has no resources: the process before
	// this one may still be ending. A new process has 10 s to be ready.
	listenPatience = 5 * time.Second
	// listenPause is the time between two tries.
	listenPause = 20 * time.Millisecond
)

// listenPatiently calls listen until it succeeds, fails for a reason that stays, or listenPatience is over.
func listenPatiently(listen func() (net.Listener, error)) (net.Listener, error) {
	for began := time.Now(); ; time.Sleep(listenPause) {
		listener, err := listen()
		passes := errors.Is(err, syscall.EADDRINUSE) || socket.Exhausted(err) && !errors.Is(err, syscall.EADDRNOTAVAIL)
		if err == nil || !passes || time.Since(began) > listenPatience {
			return listener, err
		}
	}
}
