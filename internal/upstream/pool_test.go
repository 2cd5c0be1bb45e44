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

// TestClosedIdleConnectionNotReused checks that a request is not written to a connection that the server has closed: it would
// end as a reset, which does not show whether the request was executed.
func TestClosedIdleConnectionNotReused(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, func(c net.Conn) bool { sidecartest.Respond(200, "")(c); return false })
	client := newTestClient(t, 500)
	endpoint := newEndpoint(server.Addr)
	expectOutcome(t, client, newAttempt(endpoint, sidecartest.Timeout), balance.OK)
	conn := client.pool.idle[endpoint][0]
	sidecartest.WaitFor(t, "the server closes the connection", func() bool { return !conn.healthy() })
	expectOutcome(t, client, newAttempt(endpoint, sidecartest.Timeout), balance.OK)
	if conns := server.ConnCount(); conns != 2 {
		t.Errorf("the server accepted %d connections, want 2", conns)
	}
	if client.pool.openConns != len(client.pool.idle[endpoint]) {
		t.Errorf("%d connections are counted as open, but %d are idle", client.pool.openConns, len(client.pool.idle[endpoint]))
	}
}

// TestIdleConnectionIsReusedAfterDelay checks that a connection is not used again before the reuse delay. A duplicate of a
// response may come in a packet of its own after the connection was found to have nothing to read: the client of the next
// request would get it.
func TestIdleConnectionIsReusedAfterDelay(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, ""))
	client := newTestClient(t, 500)
	client.pool.reuseDelay = time.Hour
	endpoint := newEndpoint(server.Addr)
	expectOutcome(t, client, newAttempt(endpoint, sidecartest.Timeout), balance.OK)
	if conn := client.pool.takeIdle(endpoint); conn != nil {
		t.Error("the connection is used again at once")
	}
	client.pool.idle[endpoint][0].idleSince = time.Now().Add(-2 * time.Hour)
	if conn := client.pool.takeIdle(endpoint); conn == nil {
		t.Error("the connection is not used again after the reuse delay")
	} else {
		client.pool.put(conn)
	}
}

// TestPoolLimitEvictsIdleConnection checks that the pool at its limit closes an idle connection before it rejects a new one, and
// that a lack of sockets does not count against the endpoint.
func TestPoolLimitEvictsIdleConnection(t *testing.T) {
	first := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, ""))
	second := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, ""))
	client := newTestClient(t, 1)
	expectOutcome(t, client, newAttempt(newEndpoint(first.Addr), sidecartest.Timeout), balance.OK)
	expectOutcome(t, client, newAttempt(newEndpoint(second.Addr), sidecartest.Timeout), balance.OK)
	if client.pool.openConns != 1 {
		t.Errorf("%d connections are open, want 1", client.pool.openConns)
	}
	conn, err := client.pool.get(context.Background(), newEndpoint(first.Addr), time.Now().Add(sidecartest.Timeout))
	if err != nil {
		t.Fatal(err)
	}
	defer client.pool.closeConn(conn)
	expectOutcome(t, client, newAttempt(newEndpoint(second.Addr), sidecartest.Timeout), balance.NotAttempted)
	if outcome := client.CheckHealth(context.Background(), newEndpoint(second.Addr)); outcome.Result != balance.NotAttempted {
		t.Errorf("health check without a socket: outcome %d, want %d", outcome.Result, balance.NotAttempted)
	}
}

// TestConnectionWithStrayResponseNotReused checks that a connection is not used again if more follows a response on it.
func TestConnectionWithStrayResponseNotReused(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, func(c net.Conn) bool {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
		return err == nil
	})
	client := newTestClient(t, 500)
	endpoint := newEndpoint(server.Addr)
	for range 2 {
		if outcome := expectOutcome(t, client, newAttempt(endpoint, sidecartest.Timeout), balance.OK); outcome.Response != nil && len(outcome.Response.Body) != 0 {
			t.Errorf("got the body %q, want an empty one", outcome.Response.Body)
		}
	}
}

// descriptorlessListener is a listener whose first calls of Accept fail for want of a descriptor.
type descriptorlessListener struct {
	net.Listener
	failures int
}

func (l *descriptorlessListener) Accept() (net.Conn, error) {
	if l.failures--; l.failures >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return nil, net.ErrClosed
}

// TestAcceptRetriesWithoutDescriptors checks that a lack of descriptors does not end the listener, and that an idle connection to an
// endpoint is closed for it. net/http would pause for long.
func TestAcceptRetriesWithoutDescriptors(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, ""))
	client := newTestClient(t, 500)
	expectOutcome(t, client, newAttempt(newEndpoint(server.Addr), sidecartest.Timeout), balance.OK)
	inner := &descriptorlessListener{failures: 3}
	if _, err := downstream.NewListener(inner, downstream.NewConnTracker(1), client.pool).Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the listener ended with %v, want %v", err, net.ErrClosed)
	}
	if client.pool.openConns != 0 {
		t.Error("an idle connection is open while descriptors are short")
	}
}
