package upstream

import (
	"net"
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/sidecartest"
)

// TestRetryIsWithdrawnWhenItArrivesTooLate guards against the second execution of an order: the kernel accepts a retry
// within the dedup window, but the endpoint reads slowly and would receive its last byte after the window. The attempt
// must end at SendBy, and the endpoint must never receive the complete request.
func TestRetryIsWithdrawnWhenItArrivesTooLate(t *testing.T) {
	const sendBy, tolerance = 30 * time.Millisecond, 2 * time.Second
	forEachBodyForm(t, func(t *testing.T, client *Client, newAttempt func(address string) *Attempt) {
		server := newSlowServer(t)
		attempt := newAttempt(server.Addr)
		attempt.SendBy = time.Now().Add(sendBy)
		outcome := client.Do(attempt)
		attempt.Cancel()
		if outcome.Result != balance.Cancelled && outcome.Result != balance.NotAttempted {
			t.Errorf("got result %v with error %v, want cancelled or not attempted", outcome.Result, outcome.Err)
		}
		if late := time.Since(attempt.SendBy); late > tolerance {
			t.Errorf("the attempt ended %v after the limit, want %v at most", late, tolerance)
		}
		expectIncomplete(t, server)
	})
}

// TestReceivedRetryIsNotWithdrawn checks that an attempt continues after SendBy if the endpoint has received the complete
// request, which may take longer to execute.
func TestReceivedRetryIsNotWithdrawn(t *testing.T) {
	const sendBy = 500 * time.Millisecond
	forEachBodyForm(t, func(t *testing.T, client *Client, newAttempt func(address string) *Attempt) {
		server := sidecartest.NewScriptedServer(t, func(conn net.Conn) bool {
			time.Sleep(2 * sendBy)
			return sidecartest.Respond(200, "done")(conn)
		})
		attempt := newAttempt(server.Addr)
		attempt.SendBy = time.Now().Add(sendBy)
		expectResult(t, client, attempt, balance.OK)
	})
}

// TestLateConnectionCarriesNoRetry checks that nothing is sent after SendBy on a connection that came up late, and that the
// connection is kept for other requests.
func TestLateConnectionCarriesNoRetry(t *testing.T) {
	const sendBy = 50 * time.Millisecond
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, ""))
	client := newTestClient(t, testMaxConns)
	client.pool.afterDial = func() { time.Sleep(2 * sendBy) }
	attempt := newAttempt(newEndpoint(server.Addr), sidecartest.Timeout)
	attempt.SendBy = time.Now().Add(sendBy)
	expectResult(t, client, attempt, balance.NotAttempted)
	if got := len(server.Requests()); got != 0 {
		t.Errorf("the server received %d requests, want 0", got)
	}
	if client.pool.openConns != 1 {
		t.Errorf("got %d open connections, want 1", client.pool.openConns)
	}
}
