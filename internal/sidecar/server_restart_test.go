package sidecar

import (
	"net"
	"net/http"
	"sync"
	"testing"

	"cindersaddle/internal/membership"
	"cindersaddle/internal/sidecartest"
)

// TestServerRestartDiscardsConnectionInUse checks that a connection which is in use when discovery reports a restart of
// its server is not used for another request: it belongs to the previous process.
func TestServerRestartDiscardsConnectionInUse(t *testing.T) {
	started, release := make(chan bool, 1), make(chan bool)
	var mu sync.Mutex
	var conns []net.Conn
	recordConn := func(next sidecartest.Step) sidecartest.Step {
		return func(conn net.Conn) bool {
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			return next(conn)
		}
	}
	server := sidecartest.NewScriptedServer(t, recordConn(sidecartest.RespondAfter(started, release)), recordConn(sidecartest.Respond(200, "served")))
	sidecar := startSidecar(t, sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr)))
	sidecartest.Next(t, sidecar.discovery.Queries)
	first := make(chan *http.Response, 1)
	go func() {
		resp, _ := sidecar.do(sidecar.newRequest("read"))
		first <- resp
	}()
	sidecartest.Next(t, started)
	restarted := sidecartest.ReadyEndpoint("s-1", server.Addr)
	restarted.UpSince = 5
	sidecar.discovery.Lists <- membership.EndpointList{Revision: 50, Members: []membership.Endpoint{restarted}}
	sidecartest.Next(t, sidecar.discovery.Queries)                                 // the list is queued for the event loop
	if resp, _ := sidecar.do(sidecar.newRequest("read")); resp.StatusCode != 200 { // handled after the list
		t.Fatalf("second request: status %d, want 200", resp.StatusCode)
	}
	close(release)
	if resp := sidecartest.Next(t, first); resp.StatusCode != 200 {
		t.Fatalf("first request: status %d, want 200", resp.StatusCode)
	}
	for range 3 {
		if resp, _ := sidecar.do(sidecar.newRequest("read")); resp.StatusCode != 200 {
			t.Fatalf("status %d, want 200", resp.StatusCode)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for i, conn := range conns[1:] {
		if conn == conns[0] {
			t.Errorf("request %d used the connection from before the restart", i+2)
		}
	}
}

// TestServerRestartDiscardsIdleConnections checks that idle connections are not used after discovery reports a restart of
// their server, and that they are kept where a later list repeats the same start time. The connections of a machine that
// vanished look open: a request written to one is reset, and may have run.
func TestServerRestartDiscardsIdleConnections(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	sidecar := startSidecar(t, sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr)))
	sidecartest.Next(t, sidecar.discovery.Queries)
	for up, want := range []int{1, 2, 2} {
		if resp, _ := sidecar.do(sidecar.newRequest("read")); resp.StatusCode != 200 {
			t.Fatalf("status %d, want 200", resp.StatusCode)
		}
		if _, _, conns := server.Received(); conns != want {
			t.Errorf("after %d endpoint lists: %d connections, want %d", up, conns, want)
		}
		restarted := sidecartest.ReadyEndpoint("s-1", server.Addr)
		restarted.UpSince = 5 // the same in both lists
		sidecar.discovery.Lists <- membership.EndpointList{Revision: int64(50 + up), Members: []membership.Endpoint{restarted}}
		sidecartest.Next(t, sidecar.discovery.Queries) // the list has reached the event loop
	}
}
