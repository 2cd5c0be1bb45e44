package sidecar

import (
	"net"
	"net/http"
	"sync"
	"testing"

	"cindersaddle/internal/sidecartest"
)

// connRecorder records the connection of each request that a server receives.
type connRecorder struct {
	mu    sync.Mutex
	conns []net.Conn
}

// record returns a step that records the connection, and then runs another one.
func (r *connRecorder) record(next sidecartest.Step) sidecartest.Step {
	return func(conn net.Conn) bool {
		r.mu.Lock()
		r.conns = append(r.conns, conn)
		r.mu.Unlock()
		return next(conn)
	}
}

// recorded returns the connections in the order of the requests.
func (r *connRecorder) recorded() []net.Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]net.Conn(nil), r.conns...)
}

// TestEndpointRestartDiscardsConnectionInUse tests the failure in which an endpoint restarts while one of its connections carries a
// request. The connection belongs to the previous incarnation, and may end in a reset with the next request. When discovery has
// reported the restart, the connection must not carry another one.
func TestEndpointRestartDiscardsConnectionInUse(t *testing.T) {
	gate := sidecartest.NewGate()
	var recorder connRecorder
	sidecar, server := startWithEndpoint(t, recorder.record(gate.Hold(sidecartest.Respond(200, "held"))), recorder.record(sidecartest.Respond(200, "served")))
	sidecartest.Next(t, sidecar.discovery.Queries)
	first := make(chan *http.Response, 1)
	go func() {
		resp, _ := sidecar.do(sidecar.newRequest("read"))
		first <- resp
	}()
	gate.AwaitRequest(t)
	restarted := sidecartest.ReadyEndpoint("s-1", server.Addr)
	restarted.StartedAt = 5
	sidecar.discovery.Lists <- sidecartest.ListUpdate(50, restarted)
	sidecartest.Next(t, sidecar.discovery.Queries)                                 // the list is queued for the event loop
	if resp, _ := sidecar.do(sidecar.newRequest("read")); resp.StatusCode != 200 { // handled after the list
		t.Fatalf("second request: status %d, want 200", resp.StatusCode)
	}
	gate.Open()
	if resp := sidecartest.Next(t, first); resp.StatusCode != 200 {
		t.Fatalf("first request: status %d, want 200", resp.StatusCode)
	}
	for range 3 {
		if resp, _ := sidecar.do(sidecar.newRequest("read")); resp.StatusCode != 200 {
			t.Fatalf("status %d, want 200", resp.StatusCode)
		}
	}
	conns := recorder.recorded()
	for i, conn := range conns[1:] {
		if conn == conns[0] {
			t.Errorf("request %d used the connection from before the restart", i+2)
		}
	}
}

// TestEndpointRestartDiscardsIdleConnections tests the failure in which an endpoint's machine vanishes and its next incarnation
// starts at the same address. The idle connections look open, but a request written to one is reset, and may have been executed.
// When discovery has reported the restart, no request may use them. A later list with the same start time must close none.
func TestEndpointRestartDiscardsIdleConnections(t *testing.T) {
	sidecar, server := startWithEndpoint(t, sidecartest.Respond(200, "served"))
	sidecartest.Next(t, sidecar.discovery.Queries)
	for up, want := range []int{1, 2, 2} {
		if resp, _ := sidecar.do(sidecar.newRequest("read")); resp.StatusCode != 200 {
			t.Fatalf("status %d, want 200", resp.StatusCode)
		}
		if conns := server.ConnCount(); conns != want {
			t.Errorf("after %d endpoint lists: %d connections, want %d", up, conns, want)
		}
		restarted := sidecartest.ReadyEndpoint("s-1", server.Addr)
		restarted.StartedAt = 5 // the same in both lists
		sidecar.discovery.Lists <- sidecartest.ListUpdate(int64(50+up), restarted)
		sidecartest.Next(t, sidecar.discovery.Queries) // the list has reached the event loop
	}
}
