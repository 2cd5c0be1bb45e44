package upstream

import (
	"net"
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/sidecartest"
)

// TestObsoleteAttemptSendsNothing checks that nothing is sent, and that the result is NotAttempted, if the endpoint
// begins to drain, the request ends, the attempt is cancelled or expires, or the client disconnects before the request
// is written.
func TestObsoleteAttemptSendsNothing(t *testing.T) {
	for name, makeObsolete := range map[string]func(*Attempt){
		"draining":            func(attempt *Attempt) { attempt.Endpoint.Closed.Store(true) },
		"request done":        func(attempt *Attempt) { attempt.RequestDone.Store(true) },
		"attempt cancelled":   func(attempt *Attempt) { attempt.Cancel() },
		"client disconnected": func(attempt *Attempt) { attempt.Message.ClientDisconnected = func() bool { return true } },
		"past deadline":       func(attempt *Attempt) { attempt.Deadline = time.Now() },
	} {
		t.Run(name, func(t *testing.T) {
			server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, ""))
			client := newTestClient(t, testMaxConns)
			endpoint := newEndpoint(server.Addr)
			expectResult(t, client, newAttempt(endpoint, sidecartest.Timeout), balance.OK)
			attempt := newAttempt(endpoint, sidecartest.Timeout)
			makeObsolete(attempt)
			expectResult(t, client, attempt, balance.NotAttempted)
			if got := len(server.Requests()); got != 1 {
				t.Errorf("the server received %d requests, want 1", got)
			}
		})
	}
}

// TestNoListenerIsConnectFailed checks that the result of an attempt is ConnectFailed if no process listens at the address.
func TestNoListenerIsConnectFailed(t *testing.T) {
	ln := sidecartest.Listen(t)
	ln.Close()
	attempt := newAttempt(newEndpoint(ln.Addr().String()), sidecartest.Timeout)
	expectResult(t, newTestClient(t, testMaxConns), attempt, balance.ConnectFailed)
}

// TestEndpointMovesWhileConnecting checks that a request is sent to the new address of an endpoint that moves while a
// connection to its old address is being opened.
func TestEndpointMovesWhileConnecting(t *testing.T) {
	old := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "old"))
	moved := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "new"))
	endpoint := newEndpoint(old.Addr)
	client := newTestClient(t, testMaxConns)
	client.pool.afterDial = func() {
		endpoint.Address.CompareAndSwap(endpoint.Address.Load(), &moved.Addr)
		client.pool.afterDial = nil
	}
	outcome := expectResult(t, client, newAttempt(endpoint, sidecartest.Timeout), balance.OK)
	if string(outcome.Response.Body) != "new" || len(old.Requests()) > 0 {
		t.Errorf("got the body %q, and the old address received %d requests; want the body \"new\" and 0 requests",
			outcome.Response.Body, len(old.Requests()))
	}
	if client.pool.openConns != 1 {
		t.Errorf("got %d open connections, want 1", client.pool.openConns)
	}
}

// TestAbandonedAttemptClosesConnection checks that an attempt that times out or is cancelled closes its connection,
// which would otherwise occupy a socket, or carry another request and receive the response to the abandoned one.
func TestAbandonedAttemptClosesConnection(t *testing.T) {
	connClosed := make(chan bool, 2)
	awaitClose := func(c net.Conn) bool { // sends no response
		var b [1]byte
		_, err := c.Read(b[:])
		connClosed <- err != nil
		return false
	}
	server := sidecartest.NewScriptedServer(t, awaitClose)
	client := newTestClient(t, testMaxConns)
	endpoint := newEndpoint(server.Addr)
	expectResult(t, client, newAttempt(endpoint, 2*time.Second), balance.TimedOut)
	sidecartest.Next(t, connClosed)
	attempt := newAttempt(endpoint, sidecartest.Timeout)
	go func() {
		for len(server.Requests()) < 2 {
			time.Sleep(time.Millisecond)
		}
		attempt.Cancel()
	}()
	expectResult(t, client, attempt, balance.Cancelled)
	sidecartest.Next(t, connClosed)
	if client.pool.openConns != 0 || len(client.pool.idle) != 0 {
		t.Errorf("got %d open connections and %d endpoints with idle connections, want 0 and 0",
			client.pool.openConns, len(client.pool.idle))
	}
}
