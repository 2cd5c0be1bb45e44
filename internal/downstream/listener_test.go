package downstream

import (
	"context"
	"errors"
	"net"
	"testing"

	"cindersaddle/internal/sidecartest"
)

// Drain accepts the connections that wait in the listen queue, so that the kernel resets none, and closes the listener.
func TestDrainAcceptsQueuedConnections(t *testing.T) {
	inner := sidecartest.Listen(t)
	listener := newTestListener(inner)
	const queued = 20
	dialQueued(t, inner, queued)
	go listener.Drain(t.Context())
	accepted := 0
	for {
		conn, err := listener.Accept()
		if err != nil {
			break
		}
		accepted++
		conn.Close()
	}
	if accepted != queued {
		t.Errorf("%d of %d queued connections accepted", accepted, queued)
	}
	if _, err := net.Dial("tcp", inner.Addr().String()); err == nil {
		t.Error("connection established after Drain, want the listener closed")
	}
}

// Drain must not return before Accept has returned, and so tracked, every connection that was waiting: a shutdown that
// finds no connection closes the server, and would reset those that are yet to come.
func TestDrainWaitsForQueuedConnections(t *testing.T) {
	const waiting = 3
	inner := sidecartest.Listen(t)
	listener := newTestListener(inner)
	dialQueued(t, inner, waiting)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	listener.Drain(ended) // has the next Accept drain the queue, and does not wait
	for i := range waiting {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		select {
		case <-listener.acceptDone:
			t.Fatalf("drained after %d of %d connections", i+1, waiting)
		default:
		}
	}
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept returns %v, want net.ErrClosed", err)
	}
	listener.Drain(t.Context()) // returns, as all connections are tracked
}
