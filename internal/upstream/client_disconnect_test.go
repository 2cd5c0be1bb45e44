package upstream

import (
	"net"
	"testing"

	"cindersaddle/balance"
	"cindersaddle/internal/downstream"
	"cindersaddle/internal/sidecartest"
	"cindersaddle/internal/socket"
)

// TestNothingWrittenAfterClientDisconnect checks that a client that disconnects during an attempt is noticed although nobody
// reads from its connection: the kernel knows. Nothing, or not the last byte of a streamed body, is sent then.
func TestNothingWrittenAfterClientDisconnect(t *testing.T) {
	for method, disconnect := range sidecartest.DisconnectMethods {
		t.Run("while connecting, "+method, func(t *testing.T) { testDisconnectWhileConnecting(t, disconnect) })
		t.Run("before the last byte of an upload, "+method, func(t *testing.T) { testDisconnectBeforeLastByte(t, disconnect) })
		t.Run("with unread bytes after its request, "+method, func(t *testing.T) { testDisconnectAfterUnreadBytes(t, disconnect) })
	}
}

func testDisconnectWhileConnecting(t *testing.T, disconnect func(net.Conn)) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, ""))
	client := newTestClient(t, 500)
	far, conn := acceptedConn(t)
	attempt := newAttempt(newEndpoint(server.Addr), sidecartest.Timeout)
	attempt.Message.ClientDisconnected = conn.CheckClientDisconnected
	client.pool.afterDial = func() {
		disconnect(far)
		awaitClosed(t, conn)
	}
	expectOutcome(t, client, attempt, balance.NotAttempted)
	if got := len(server.Requests()); got != 0 {
		t.Errorf("the server received %d requests, want 0", got)
	}
}

func testDisconnectBeforeLastByte(t *testing.T, disconnect func(net.Conn)) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, ""))
	client := newTestClient(t, 500)
	far, conn := acceptedConn(t)
	unwrapped := func(tcp *net.TCPConn) net.Conn { return tcp }
	attempt := newUploadAttempt(t, client, newEndpoint(server.Addr), unwrapped, func() error {
		disconnect(far)
		awaitClosed(t, conn)
		return conn.MarkAwaitingResponse(1)
	})
	expectOutcome(t, client, attempt, balance.NotAttempted)
	if got := len(server.Requests()); got != 0 {
		t.Errorf("the server received %d complete requests, want 0", got)
	}
}

func testDisconnectAfterUnreadBytes(t *testing.T, disconnect func(net.Conn)) {
	far, conn := acceptedConn(t)
	if err := conn.MarkAwaitingResponse(1); err != nil {
		t.Fatal(err)
	}
	far.Write([]byte("x"))
	if conn.CheckClientDisconnected() {
		t.Error("a connected client counts as disconnected")
	}
	far.Write([]byte("xx"))
	disconnect(far)
	sidecartest.WaitFor(t, "the sidecar knows that the client has disconnected", conn.CheckClientDisconnected)
}

// awaitClosed waits until the kernel knows that the other end of a connection is closed.
func awaitClosed(t *testing.T, conn *downstream.Conn) {
	t.Helper()
	sidecartest.WaitFor(t, "the kernel knows that the client has disconnected", func() bool {
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
