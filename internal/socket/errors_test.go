package socket_test

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"

	"cindersaddle/internal/socket"
)

// TestErrorsAreClassified checks the classification of errors that package net has wrapped. A wrong classification ends
// serving, or counts as a failure of a healthy endpoint.
func TestErrorsAreClassified(t *testing.T) {
	for err, want := range map[error]struct{ exhausted, transient, listenerBroken bool }{
		syscall.EMFILE:        {exhausted: true},
		syscall.ENFILE:        {exhausted: true},
		syscall.EADDRNOTAVAIL: {exhausted: true},
		syscall.ENOBUFS:       {exhausted: true, transient: true},
		syscall.ENOMEM:        {exhausted: true, transient: true},
		syscall.EINTR:         {transient: true},
		syscall.EBADF:         {listenerBroken: true},
		syscall.EINVAL:        {listenerBroken: true},
		net.ErrClosed:         {listenerBroken: true},
		syscall.ECONNABORTED:  {},
		syscall.ECONNRESET:    {},
		errors.New("unknown"): {},
	} {
		wrapped := fmt.Errorf("accept: %w", &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)})
		if got := socket.Exhausted(wrapped); got != want.exhausted {
			t.Errorf("Exhausted(%v) = %t, want %t", err, got, want.exhausted)
		}
		if got := socket.Transient(wrapped); got != want.transient {
			t.Errorf("Transient(%v) = %t, want %t", err, got, want.transient)
		}
		if got := socket.ListenerBroken(wrapped); got != want.listenerBroken {
			t.Errorf("ListenerBroken(%v) = %t, want %t", err, got, want.listenerBroken)
		}
	}
}
