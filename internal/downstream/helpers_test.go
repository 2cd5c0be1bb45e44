package downstream

import (
	"net"
	"testing"
)

// nopEvictor is an Evictor without connections.
type nopEvictor struct{}

func (nopEvictor) Evict() bool { return false }

// newTestListener returns a listener with a tracker of its own, which has no upstream connections to evict.
func newTestListener(inner net.Listener) *Listener {
	return NewListener(inner, NewConnTracker(100), nopEvictor{})
}

// dialQueued opens connections that wait in the queue of a listener.
func dialQueued(t *testing.T, listener net.Listener, count int) {
	t.Helper()
	for range count {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
	}
}
