package sidecar

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"cindersaddle/internal/config"
	"cindersaddle/internal/downstream"
	"cindersaddle/internal/socket"
)

const (
	// listenRetryTimeout is how long listenWithRetry retries. It leaves half of the 10 s in which a new process must be
	// ready.
	listenRetryTimeout = 5 * time.Second
	// listenRetryInterval is the pause between two attempts to listen.
	listenRetryInterval = 20 * time.Millisecond
)

// ListenError reports that the sidecar cannot listen on one of its addresses.
type ListenError struct {
	Purpose string // which address it is: "client" or "admin"
	Address string // host and port, as configured
	Err     error
}

// Error returns the purpose, the address and the cause.
func (e *ListenError) Error() string {
	return fmt.Sprintf("listen on %s address %q: %v", e.Purpose, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// listen opens the client listener, unless the predecessor handed one over, and the admin listener if an admin address
// is configured. With an admin address, upgrades are possible, so the client address is opened for sharing with another
// process. The error is a *ListenError.
func (r *startupResources) listen(cfg *config.Config) (err error) {
	listenForClients := listenTCP
	if cfg.AdminListen != "" {
		listenForClients = downstream.ListenShared
	}
	if r.clientListener == nil {
		if r.clientListener, err = listenWithRetry(listenForClients, cfg.Listen); err != nil {
			return &ListenError{Purpose: "client", Address: cfg.Listen, Err: err}
		}
	}
	if cfg.AdminListen == "" {
		return nil
	}
	if r.adminListener, err = listenWithRetry(listenTCP, cfg.AdminListen); err != nil {
		r.clientListener.Close()
		return &ListenError{Purpose: "admin", Address: cfg.AdminListen, Err: err}
	}
	return nil
}

// listenTCP listens on an address without sharing it with other processes.
func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// listenWithRetry calls listen until it succeeds, fails with a permanent error, or listenRetryTimeout has passed. It
// returns the last result.
//
// A previous process that is still shutting down may hold the address, or the machine may be out of resources for a
// moment. Without a retry the new process would exit, and no process would be left to serve.
func listenWithRetry(listen func(address string) (net.Listener, error), address string) (net.Listener, error) {
	for start := time.Now(); ; time.Sleep(listenRetryInterval) {
		listener, err := listen(address)
		if err == nil || !isTemporaryListenError(err) || time.Since(start) > listenRetryTimeout {
			return listener, err
		}
	}
}

// isTemporaryListenError reports whether a later attempt to listen may succeed. EADDRNOTAVAIL counts as permanent,
// although socket.Exhausted includes it: a listener also gets it for an address that does not belong to this machine.
func isTemporaryListenError(err error) bool {
	return errors.Is(err, syscall.EADDRINUSE) || socket.Exhausted(err) && !errors.Is(err, syscall.EADDRNOTAVAIL)
}
