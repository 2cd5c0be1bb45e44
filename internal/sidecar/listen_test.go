package sidecar

import (
	"errors"
	"testing"
	"time"

	"cindersaddle/internal/sidecartest"
)

// TestListenRetriesWhileAddressIsInUse tests the failure in which the previous process still has the address when the next one
// starts. The next one must wait for it.
func TestListenRetriesWhileAddressIsInUse(t *testing.T) {
	previous := sidecartest.Listen(t)
	cfg := sidecartest.Config(t)
	cfg.Listen = previous.Addr().String()
	time.AfterFunc(200*time.Millisecond, func() { previous.Close() })
	var env startupResources
	if err := env.listen(cfg); err != nil {
		t.Fatal(err)
	}
	env.clientListener.Close()
}

// TestListenFailsAtOnceForInvalidAddress checks that listening at an invalid address is not retried.
func TestListenFailsAtOnceForInvalidAddress(t *testing.T) {
	cfg := sidecartest.Config(t)
	cfg.Listen = "127.0.0.1:70000" // no port has this number
	began := time.Now()
	var env startupResources
	var listenErr *ListenError
	if err := env.listen(cfg); !errors.As(err, &listenErr) || listenErr.Address != cfg.Listen {
		t.Errorf("error %v, want a ListenError with the address", err)
	}
	if took := time.Since(began); took > listenRetryTimeout/2 {
		t.Errorf("it took %v to fail", took)
	}
}
