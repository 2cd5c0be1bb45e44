package downstream

import (
	"context"
	"errors"
	"net"
	"testing"

	"cindersaddle/internal/sidecartest"
)

// TestDrainAcceptsQueuedConnections checks that Drain accepts all connections in the listen queue, which the kernel
// would reset otherwise, and closes the listener.
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
		t.Errorf("got %d accepted connections, want all %d queued ones", accepted, queued)
	}
	if _, err := net.Dial("tcp", inner.Addr().String()); err == nil {
		t.Error("got a connection after Drain, want the listener closed")
	}
}

// TestDrainWaitsForQueuedConnections checks that Drain does not return before Accept has returned every connection that
// was in the listen queue. Accept adds them to the tracker; if Drain returned earlier, a shutdown that finds no tracked
// connection would close the server and reset the connections that are still to be accepted.
func TestDrainWaitsForQueuedConnections(t *testing.T) {
	const queued = 3
	inner := sidecartest.Listen(t)
	listener := newTestListener(inner)
	dialQueued(t, inner, queued)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	listener.Drain(canceled) // makes the next Accept drain the queue, and returns at once
	for i := range queued {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		select {
		case <-listener.acceptDone:
			t.Fatalf("the drain ended after %d of %d connections, want it to end when Accept returns net.ErrClosed", i+1, queued)
		default:
		}
	}
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept after the drain: got error %v, want net.ErrClosed", err)
	}
	listener.Drain(t.Context()) // returns, because all connections are tracked
}
