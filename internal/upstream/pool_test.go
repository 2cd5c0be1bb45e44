package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/downstream"
	"cindersaddle/internal/sidecartest"
)

// TestClosedIdleConnectionNotReused checks that a request is not written to an idle connection that the server has
// closed. The attempt would end as a reset, which does not show whether the request was executed.
func TestClosedIdleConnectionNotReused(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, func(c net.Conn) bool { sidecartest.Respond(200, "")(c); return false })
	client := newTestClient(t, testMaxConns)
	endpoint := newEndpoint(server.Addr)
	expectResult(t, client, newAttempt(endpoint, sidecartest.Timeout), balance.OK)
	conn := client.pool.idle[endpoint][0]
	sidecartest.WaitFor(t, "the server closes the connection", func() bool { return !conn.healthy() })
	expectResult(t, client, newAttempt(endpoint, sidecartest.Timeout), balance.OK)
	if conns := server.ConnCount(); conns != 2 {
		t.Errorf("the server accepted %d connections, want 2", conns)
	}
	if client.pool.openConns != len(client.pool.idle[endpoint]) {
		t.Errorf("got %d open connections and %d idle ones, want as many open as idle",
			client.pool.openConns, len(client.pool.idle[endpoint]))
	}
}

// TestIdleConnectionIsReusedAfterDelay checks that an idle connection is reused after the reuse delay, but not before. A
// duplicate of a response may arrive in a separate packet, after the connection was checked for unread bytes. Without the
// delay, the client of the next request would receive it.
func TestIdleConnectionIsReusedAfterDelay(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, ""))
	client := newTestClient(t, testMaxConns)
	client.pool.reuseDelay = time.Hour
	endpoint := newEndpoint(server.Addr)
	expectResult(t, client, newAttempt(endpoint, sidecartest.Timeout), balance.OK)
	if conn := client.pool.takeIdle(endpoint); conn != nil {
		t.Error("before the reuse delay: got an idle connection, want none")
	}
	client.pool.idle[endpoint][0].idleSince = time.Now().Add(-2 * time.Hour)
	if conn := client.pool.takeIdle(endpoint); conn == nil {
		t.Error("after the reuse delay: got no idle connection, want one")
	} else {
		client.pool.put(conn)
	}
}

// TestPoolLimitEvictsIdleConnection checks that a pool at its limit closes an idle connection to open a new one, and
// that the result is NotAttempted, which does not count against the endpoint, if there is no idle connection.
func TestPoolLimitEvictsIdleConnection(t *testing.T) {
	first := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, ""))
	second := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, ""))
	client := newTestClient(t, 1)
	expectResult(t, client, newAttempt(newEndpoint(first.Addr), sidecartest.Timeout), balance.OK)
	expectResult(t, client, newAttempt(newEndpoint(second.Addr), sidecartest.Timeout), balance.OK)
	if client.pool.openConns != 1 {
		t.Errorf("got %d open connections, want 1", client.pool.openConns)
	}
	conn, err := client.pool.get(context.Background(), newEndpoint(first.Addr), time.Now().Add(sidecartest.Timeout))
	if err != nil {
		t.Fatal(err)
	}
	defer client.pool.closeConn(conn)
	expectResult(t, client, newAttempt(newEndpoint(second.Addr), sidecartest.Timeout), balance.NotAttempted)
	outcome := client.CheckHealth(context.Background(), newEndpoint(second.Addr))
	if outcome.Result != balance.NotAttempted {
		t.Errorf("health check at the pool limit: got result %v (%d), want %v (%d)",
			outcome.Result, outcome.Result, balance.NotAttempted, balance.NotAttempted)
	}
}

// TestConnectionWithStrayResponseNotReused checks that a connection is not reused if bytes follow a response on it.
// They would be read as the response to the next request.
func TestConnectionWithStrayResponseNotReused(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, func(c net.Conn) bool {
		const response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		const stray = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
		_, err := io.WriteString(c, response+stray)
		return err == nil
	})
	client := newTestClient(t, testMaxConns)
	endpoint := newEndpoint(server.Addr)
	for range 2 {
		outcome := expectResult(t, client, newAttempt(endpoint, sidecartest.Timeout), balance.OK)
		if outcome.Response != nil && len(outcome.Response.Body) != 0 {
			t.Errorf("got the body %q, want an empty one", outcome.Response.Body)
		}
	}
}

// exhaustedListener is a listener whose first calls of Accept fail for lack of descriptors. Later calls report that it
// is closed.
type exhaustedListener struct {
	net.Listener
	failures int // number of calls that still fail for lack of descriptors
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures--; l.failures >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return nil, net.ErrClosed
}

// TestAcceptRetriesWithoutDescriptors checks that the listener keeps accepting after a lack of descriptors, and that an
// idle connection to an endpoint is closed to free one. net/http would instead pause for a long time.
func TestAcceptRetriesWithoutDescriptors(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, ""))
	client := newTestClient(t, testMaxConns)
	expectResult(t, client, newAttempt(newEndpoint(server.Addr), sidecartest.Timeout), balance.OK)
	inner := &exhaustedListener{failures: 3}
	listener := downstream.NewListener(inner, downstream.NewConnTracker(1), client.pool)
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("accept: got %v, want %v", err, net.ErrClosed)
	}
	if client.pool.openConns != 0 {
		t.Errorf("got %d open connections after a lack of descriptors, want 0", client.pool.openConns)
	}
}
