package downstream

import (
	"net"
	"testing"
)

// nopEvictor is an Evictor that has no connections to close.
type nopEvictor struct{}

func (nopEvictor) Evict() bool { return false }

// newTestListener returns a listener with a new tracker and no upstream connections to evict.
func newTestListener(inner net.Listener) *Listener {
	return NewListener(inner, NewConnTracker(100), nopEvictor{})
}

// dialQueued opens count connections that stay in the listen queue of a listener until it accepts them.
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
