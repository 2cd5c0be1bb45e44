package downstream

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cindersaddle/internal/sidecartest"
)

// TestTrackerKeepsConnectionsWithOpenRequests checks that at the limit a connection with an open request is not
// evicted, so that the new connection is closed, and that an idle connection is evicted for a new one.
func TestTrackerKeepsConnectionsWithOpenRequests(t *testing.T) {
	tracker := NewConnTracker(1)
	add := func() *Conn {
		_, accepted := sidecartest.ConnPair(t)
		return tracker.Add(accepted)
	}
	first := add()
	tracker.handleStateChange(first, http.StateActive)
	if add() != nil || tracker.openConns != 1 {
		t.Errorf("new connection admitted or wrong count while a request is open: got %d open connections, want 1",
			tracker.openConns)
	}
	tracker.handleStateChange(first, http.StateIdle)
	second := add()
	if second == nil || !first.closed || tracker.openConns != 1 {
		t.Errorf("idle connection not evicted for a new one or wrong count: got %d open connections, want 1", tracker.openConns)
	}
	second.Close()
	second.Close()
	queues := &tracker.queues
	if tracker.openConns != 0 || queues.newConns.Len()+queues.idleConns.Len()+queues.activeConns.Len() != 0 {
		t.Errorf("after all were closed: got %d open connections and %d in queues, want 0", tracker.openConns, len(queues.all()))
	}
}

// TestUnparsedRequestKeepsConnectionOpen checks that a connection from which a complete request has been read is not
// closed, even if net/http has not parsed the head yet and considers the connection idle. A connection from which
// nothing has been read is closed.
func TestUnparsedRequestKeepsConnectionOpen(t *testing.T) {
	for name, closeConns := range map[string]func(*ConnTracker){
		"closeIdle":           (*ConnTracker).closeIdleConns,
		"closeWithoutRequest": (*ConnTracker).closeConnsWithoutRequest,
		"Evict":               func(tracker *ConnTracker) { tracker.Evict(); tracker.Evict() },
		"SetLimit":            func(tracker *ConnTracker) { tracker.SetLimit(0) },
	} {
		tracker := NewConnTracker(10)
		add := func() (*Conn, net.Conn) {
			client, accepted := sidecartest.ConnPair(t)
			conn := tracker.Add(accepted)
			t.Cleanup(func() { conn.Close() })
			tracker.handleStateChange(conn, http.StateIdle)
			conn.responsesFinished = 0
			conn.openedAt = time.Now().Add(-SilenceGracePeriod)
			return conn, client
		}
		const request = "GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n"
		conn, client := add()
		_, silentClient := add()
		io.WriteString(client, request)
		if n, err := io.ReadFull(conn, make([]byte, len(request))); err != nil {
			t.Fatalf("%s: read %d of %d bytes of the request: %v", name, n, len(request), err)
		}
		closeConns(tracker)
		io.WriteString(conn, "response")
		conn.CloseWrite()
		if got, err := io.ReadAll(client); err != nil || string(got) != "response" {
			t.Errorf("%s: client with a request got %q, error %v, want the response", name, got, err)
		}
		silentClient.SetReadDeadline(time.Now().Add(sidecartest.Timeout))
		if got, err := io.ReadAll(silentClient); err != nil || len(got) > 0 {
			t.Errorf("%s: client without a request got %q, error %v, want a closed connection", name, got, err)
		}
	}
}
