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
	mu    sync.Mutex // protects conns
	conns []net.Conn
}

// record returns a step that records the connection and then runs the step next.
func (r *connRecorder) record(next sidecartest.Step) sidecartest.Step {
	return func(conn net.Conn) bool {
		r.mu.Lock()
		r.conns = append(r.conns, conn)
		r.mu.Unlock()
		return next(conn)
	}
}

// recorded returns the connections so far, in the order of the requests.
func (r *connRecorder) recorded() []net.Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]net.Conn(nil), r.conns...)
}

// TestEndpointRestartDiscardsConnectionInUse guards against the reuse of a connection to an earlier incarnation, which
// may be reset by the next request. The endpoint restarts while the connection carries a request. After discovery has
// reported the restart, the connection must not carry another request.
func TestEndpointRestartDiscardsConnectionInUse(t *testing.T) {
	gate := sidecartest.NewGate()
	var recorder connRecorder
	sidecar, server := startWithEndpoint(t,
		recorder.record(gate.Hold(sidecartest.Respond(200, "held"))),
		recorder.record(sidecartest.Respond(200, "served")),
	)
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
	sidecartest.Next(t, sidecar.discovery.Queries)
	// The list is queued for the event loop now, which handles the next request after it.
	if resp, _ := sidecar.do(sidecar.newRequest("read")); resp.StatusCode != 200 {
		t.Fatalf("second request: got status %d, want 200", resp.StatusCode)
	}
	gate.Open()
	if resp := sidecartest.Next(t, first); resp.StatusCode != 200 {
		t.Fatalf("first request: got status %d, want 200", resp.StatusCode)
	}
	for range 3 {
		if resp, _ := sidecar.do(sidecar.newRequest("read")); resp.StatusCode != 200 {
			t.Fatalf("got status %d, want 200", resp.StatusCode)
		}
	}
	conns := recorder.recorded()
	for i, conn := range conns[1:] {
		if conn == conns[0] {
			t.Errorf("request %d: got the connection from before the restart, want a new one", i+2)
		}
	}
}

// TestEndpointRestartDiscardsIdleConnections guards against the use of idle connections to an endpoint whose machine
// vanished and whose next incarnation has the same address. These connections look open, but a request written to one
// is reset, and may have been executed. After discovery has reported the restart, no request may use them. A later list
// with the same start time must not close any connection.
func TestEndpointRestartDiscardsIdleConnections(t *testing.T) {
	sidecar, server := startWithEndpoint(t, sidecartest.Respond(200, "served"))
	sidecartest.Next(t, sidecar.discovery.Queries)
	for lists, want := range []int{1, 2, 2} {
		if resp, _ := sidecar.do(sidecar.newRequest("read")); resp.StatusCode != 200 {
			t.Fatalf("got status %d, want 200", resp.StatusCode)
		}
		if conns := server.ConnCount(); conns != want {
			t.Errorf("after %d endpoint lists: got %d connections, want %d", lists, conns, want)
		}
		restarted := sidecartest.ReadyEndpoint("s-1", server.Addr)
		restarted.StartedAt = 5 // the same in both lists
		sidecar.discovery.Lists <- sidecartest.ListUpdate(int64(50+lists), restarted)
		sidecartest.Next(t, sidecar.discovery.Queries) // the list has reached the event loop
	}
}
