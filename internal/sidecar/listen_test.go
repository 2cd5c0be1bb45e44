package sidecar

import (
	"testing"
	"time"

	"cindersaddle/internal/sidecartest"
)

// TestListenWaitsForThePreviousProcess checks that a process starts although the one before it still has the address.
func TestListenWaitsForThePreviousProcess(t *testing.T) {
	previous := sidecartest.Listen(t)
	cfg := sidecartest.Config(t)
	cfg.Listen = previous.Addr().String()
	time.AfterFunc(200*time.Millisecond, func() { previous.Close() })
	var env environment
	if err := env.listen(cfg); err != nil {
		t.Fatal(err)
	}
	env.clients.Close()
}

// TestListenFailsAtOnceForAWrongAddress checks that an address that cannot be listened at is not tried for long.
func TestListenFailsAtOnceForAWrongAddress(t *testing.T) {
	cfg := sidecartest.Config(t)
	cfg.Listen = "127.0.0.1:70000" // no port has this number
	began := time.Now()
	var env environment
	if err := env.listen(cfg); err == nil {
		t.Error("listening succeeded")
	}
	if took := time.Since(began); took > listenPatience/2 {
		t.Errorf("it took %v to fail", took)
	}
}
