package sidecar

import (
	"errors"
	"testing"
	"time"

	"cindersaddle/internal/sidecartest"
)

// TestListenRetriesWhileAddressIsInUse guards against a process that exits because the previous process still listens
// on its address. The new process must wait until the address is free.
func TestListenRetriesWhileAddressIsInUse(t *testing.T) {
	previous := sidecartest.Listen(t)
	cfg := sidecartest.Config(t)
	cfg.Listen = previous.Addr().String()
	time.AfterFunc(200*time.Millisecond, func() { previous.Close() })
	var resources startupResources
	if err := resources.listen(cfg); err != nil {
		t.Fatal(err)
	}
	resources.clientListener.Close()
}

// TestListenFailsAtOnceForInvalidAddress checks that listening on an invalid address is not retried.
func TestListenFailsAtOnceForInvalidAddress(t *testing.T) {
	cfg := sidecartest.Config(t)
	cfg.Listen = "127.0.0.1:70000" // above the highest port number
	start := time.Now()
	var resources startupResources
	var listenErr *ListenError
	if err := resources.listen(cfg); !errors.As(err, &listenErr) || listenErr.Address != cfg.Listen {
		t.Errorf("got error %v, want a ListenError with address %q", err, cfg.Listen)
	}
	if elapsed := time.Since(start); elapsed > listenRetryTimeout/2 {
		t.Errorf("got the error after %v, want at most %v", elapsed, listenRetryTimeout/2)
	}
}
