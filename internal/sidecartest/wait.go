package sidecartest

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// Timeout limits each wait in a test. Only a test that fails waits that long.
const Timeout = 30 * time.Second

// Next receives the next value from a channel. The test fails if none arrives within Timeout.
func Next[T any](t *testing.T, events <-chan T) T {
	t.Helper()
	select {
	case event := <-events:
		return event
	case <-time.After(Timeout):
		t.Fatalf("got no event within %v, want one", Timeout)
	}
	panic("unreachable")
}

// WaitFor waits until the function holds returns true. The test fails if that does not happen within Timeout, with the
// description of the condition in its message.
func WaitFor(t *testing.T, description string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(Timeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", Timeout, description)
		}
	}
}

// Listen opens a listener on a free port of the loopback interface. It is closed at the end of the test.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// ServeHTTP runs an HTTP server until the end of the test and returns its address.
func ServeHTTP(t *testing.T, handler http.Handler) string {
	t.Helper()
	ln := Listen(t)
	server := &http.Server{Handler: handler}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	return ln.Addr().String()
}
