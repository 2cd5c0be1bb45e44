package upstream

import (
	"net"
	"testing"

	"cindersaddle/balance"
	"cindersaddle/internal/downstream"
	"cindersaddle/internal/sidecartest"
	"cindersaddle/internal/socket"
)

// TestNothingWrittenAfterClientLeft checks that a client that leaves during an attempt is noticed although nobody reads from its
// connection: the kernel knows. Nothing, or not the last byte of a streamed body, is sent then.
func TestNothingWrittenAfterClientLeft(t *testing.T) {
	for way, leave := range sidecartest.DisconnectMethods {
		t.Run("while connecting, "+way, func(t *testing.T) { testClientLeavesWhileConnecting(t, leave) })
		t.Run("before the last byte of an upload, "+way, func(t *testing.T) { testClientLeavesBeforeLastByte(t, leave) })
		t.Run("with unread bytes after its request, "+way, func(t *testing.T) { testClientLeavesAfterUnreadBytes(t, leave) })
	}
}

func testClientLeavesWhileConnecting(t *testing.T, leave func(net.Conn)) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, ""))
	client := newTestClient(t, 500)
	far, conn := acceptedConn(t)
	attempt := newAttempt(newEndpoint(server.Addr), sidecartest.Timeout)
	attempt.Message.ClientGone = conn.ClientGone
	client.pool.AfterDial = func() {
		leave(far)
		awaitClosed(t, conn)
	}
	expectOutcome(t, client, attempt, balance.NotAttempted)
	if got := len(server.Requests()); got != 0 {
		t.Errorf("the server received %d requests, want 0", got)
	}
}

func testClientLeavesBeforeLastByte(t *testing.T, leave func(net.Conn)) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, ""))
	client := newTestClient(t, 500)
	far, conn := acceptedConn(t)
	unwrapped := func(tcp *net.TCPConn) net.Conn { return tcp }
	attempt := newUploadAttempt(t, client, newEndpoint(server.Addr), unwrapped, func() error {
		leave(far)
		awaitClosed(t, conn)
		return conn.AwaitResponse(1)
	})
	expectOutcome(t, client, attempt, balance.NotAttempted)
	if got := len(server.Requests()); got != 0 {
		t.Errorf("the server received %d complete requests, want 0", got)
	}
}

func testClientLeavesAfterUnreadBytes(t *testing.T, leave func(net.Conn)) {
	far, conn := acceptedConn(t)
	if err := conn.AwaitResponse(1); err != nil {
		t.Fatal(err)
	}
	far.Write([]byte("x"))
	if conn.ClientGone() {
		t.Error("a client that is present counts as gone")
	}
	far.Write([]byte("xx"))
	leave(far)
	sidecartest.WaitFor(t, "the sidecar knows that the client has left", conn.ClientGone)
}

// awaitClosed waits until the kernel knows that the other end of a connection is closed.
func awaitClosed(t *testing.T, conn *downstream.Conn) {
	t.Helper()
	sidecartest.WaitFor(t, "the kernel knows that the client has left", func() bool {
		return socket.Peek(conn.TCPConn) == socket.Closed
	})
}

// acceptedConn returns both ends of a connection of a client, from which nobody reads.
func acceptedConn(t *testing.T) (far net.Conn, conn *downstream.Conn) {
	t.Helper()
	far, near := sidecartest.ConnPair(t)
	conn = downstream.NewConnTracker(1).Add(near)
	t.Cleanup(func() { conn.Close() })
	return far, conn
}
