package upstream

import (
	"net"
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/sidecartest"
)

// TestObsoleteAttemptSendsNothing checks that nothing is sent if the endpoint begins to drain, the request ends or its client
// disconnects before the connection is ready: the outcome is that the attempt was not made.
func TestObsoleteAttemptSendsNothing(t *testing.T) {
	for name, late := range map[string]func(*Attempt){
		"draining":            func(attempt *Attempt) { attempt.Endpoint.Closed.Store(true) },
		"request done":        func(attempt *Attempt) { attempt.RequestDone.Store(true) },
		"attempt cancelled":   func(attempt *Attempt) { attempt.Cancel() },
		"client disconnected": func(attempt *Attempt) { attempt.Message.ClientDisconnected = func() bool { return true } },
		"past deadline":       func(attempt *Attempt) { attempt.Deadline = time.Now() },
	} {
		t.Run(name, func(t *testing.T) {
			server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, ""))
			client := newTestClient(t, 500)
			endpoint := newEndpoint(server.Addr)
			expectOutcome(t, client, newAttempt(endpoint, sidecartest.Timeout), balance.OK)
			attempt := newAttempt(endpoint, sidecartest.Timeout)
			late(attempt)
			expectOutcome(t, client, attempt, balance.NotAttempted)
			if got := len(server.Requests()); got != 1 {
				t.Errorf("the server received %d requests, want 1", got)
			}
		})
	}
}

// TestNoListenerIsConnectFailed checks the outcome of an attempt at an address where nothing listens.
func TestNoListenerIsConnectFailed(t *testing.T) {
	ln := sidecartest.Listen(t)
	ln.Close()
	expectOutcome(t, newTestClient(t, 500), newAttempt(newEndpoint(ln.Addr().String()), sidecartest.Timeout), balance.ConnectFailed)
}

// TestEndpointMovesWhileConnecting checks that a request goes to the new address of an endpoint that moves while a connection to the
// old address is being opened.
func TestEndpointMovesWhileConnecting(t *testing.T) {
	old := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "old"))
	moved := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "new"))
	endpoint := newEndpoint(old.Addr)
	client := newTestClient(t, 500)
	client.pool.afterDial = func() {
		endpoint.Address.CompareAndSwap(endpoint.Address.Load(), &moved.Addr)
		client.pool.afterDial = nil
	}
	outcome := expectOutcome(t, client, newAttempt(endpoint, sidecartest.Timeout), balance.OK)
	if string(outcome.Response.Body) != "new" || len(old.Requests()) > 0 {
		t.Errorf("got the body %q, and the old address received %d requests; want the body \"new\" and 0", outcome.Response.Body, len(old.Requests()))
	}
	if client.pool.openConns != 1 {
		t.Errorf("%d connections are open, want 1", client.pool.openConns)
	}
}

// TestAbandonedAttemptClosesConnection checks that an attempt that times out or is cancelled closes its connection: it must neither
// occupy a socket nor carry another request.
func TestAbandonedAttemptClosesConnection(t *testing.T) {
	ended := make(chan bool, 2)
	hang := func(c net.Conn) bool {
		var b [1]byte
		_, err := c.Read(b[:])
		ended <- err != nil
		return false
	}
	server := sidecartest.NewScriptedServer(t, hang)
	client := newTestClient(t, 500)
	endpoint := newEndpoint(server.Addr)
	expectOutcome(t, client, newAttempt(endpoint, 2*time.Second), balance.TimedOut)
	sidecartest.Next(t, ended)
	attempt := newAttempt(endpoint, sidecartest.Timeout)
	go func() {
		for len(server.Requests()) < 2 {
			time.Sleep(time.Millisecond)
		}
		attempt.Cancel()
	}()
	expectOutcome(t, client, attempt, balance.Cancelled)
	sidecartest.Next(t, ended)
	if client.pool.openConns != 0 || len(client.pool.idle) != 0 {
		t.Errorf("%d connections are open and %d endpoints have idle ones, want none", client.pool.openConns, len(client.pool.idle))
	}
}
