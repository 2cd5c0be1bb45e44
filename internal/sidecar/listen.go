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
	// listenRetryTime is how long listening is retried. A new process has 10 s to be ready.
	listenRetryTime = 5 * time.Second
	// listenRetryPause is the time between two attempts.
	listenRetryPause = 20 * time.Millisecond
)

// ListenError is the error of an address that cannot be listened at.
type ListenError struct {
	Purpose string // whose address it is
	Address string // host and port, as configured
	Err     error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("%s address %q: %v", e.Purpose, e.Address, e.Err)
}

func (e *ListenError) Unwrap() error { return e.Err }

// listen opens the listeners that the environment does not have yet. Where there is an admin address, the clients' address
// is shared with the other process of an upgrade. It returns a *ListenError.
func (env *environment) listen(cfg *config.Config) (err error) {
	listenForClients := listenTCP
	if cfg.AdminListen != "" {
		listenForClients = downstream.ListenShared
	}
	if env.clients == nil {
		if env.clients, err = listenWithRetry(listenForClients, cfg.Listen); err != nil {
			return &ListenError{Purpose: "clients'", Address: cfg.Listen, Err: err}
		}
	}
	if cfg.AdminListen == "" {
		return nil
	}
	if env.admin, err = listenWithRetry(listenTCP, cfg.AdminListen); err != nil {
		env.clients.Close()
		return &ListenError{Purpose: "admin", Address: cfg.AdminListen, Err: err}
	}
	return nil
}

// listenTCP listens at an address that no other process listens at.
func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// listenWithRetry calls listen until it succeeds, fails with a permanent error, or listenRetryTime is over, and returns its last
// result.
//
// The process before this one may still be ending: then the address is in use, or the machine has no resources left. Without a
// retry, the new process would exit, and nobody would serve. A permanent error is reported at once.
func listenWithRetry(listen func(address string) (net.Listener, error), address string) (net.Listener, error) {
	for began := time.Now(); ; time.Sleep(listenRetryPause) {
		listener, err := listen(address)
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
