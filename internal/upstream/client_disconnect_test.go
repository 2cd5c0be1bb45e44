package upstream

import (
	"net"
	"testing"

	"cindersaddle/balance"
	"cindersaddle/internal/downstream"
	"cindersaddle/internal/sidecartest"
	"cindersaddle/internal/socket"
)

// TestNothingWrittenAfterClientDisconnect checks that an attempt detects that its client has disconnected although no
// goroutine reads from the client's connection, by asking the kernel. It must then send nothing, or at least not the
// last byte of a streamed body, so that the request is not executed.
func TestNothingWrittenAfterClientDisconnect(t *testing.T) {
	for method, disconnect := range sidecartest.DisconnectMethods {
		t.Run("while connecting, "+method, func(t *testing.T) { testDisconnectWhileConnecting(t, disconnect) })
		t.Run("before the last byte of an upload, "+method, func(t *testing.T) {
			testDisconnectBeforeLastByte(t, disconnect)
		})
		t.Run("with unread bytes after its request, "+method, func(t *testing.T) {
			testDisconnectAfterUnreadBytes(t, disconnect)
		})
	}
}

func testDisconnectWhileConnecting(t *testing.T, disconnect func(net.Conn)) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, ""))
	client := newTestClient(t, testMaxConns)
	clientEnd, conn := acceptedConn(t)
	attempt := newAttempt(newEndpoint(server.Addr), sidecartest.Timeout)
	attempt.Message.ClientDisconnected = conn.CheckClientDisconnected
	client.pool.afterDial = func() {
		disconnect(clientEnd)
		awaitClosed(t, conn)
	}
	expectResult(t, client, attempt, balance.NotAttempted)
	if got := len(server.Requests()); got != 0 {
		t.Errorf("the server received %d requests, want 0", got)
	}
}

func testDisconnectBeforeLastByte(t *testing.T, disconnect func(net.Conn)) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, ""))
	client := newTestClient(t, testMaxConns)
	clientEnd, conn := acceptedConn(t)
	unwrapped := func(tcp *net.TCPConn) net.Conn { return tcp }
	attempt := newUploadAttempt(t, client, newEndpoint(server.Addr), unwrapped, func() error {
		disconnect(clientEnd)
		awaitClosed(t, conn)
		return conn.MarkAwaitingResponse(1)
	})
	expectResult(t, client, attempt, balance.NotAttempted)
	if got := len(server.Requests()); got != 0 {
		t.Errorf("the server received %d complete requests, want 0", got)
	}
}

func testDisconnectAfterUnreadBytes(t *testing.T, disconnect func(net.Conn)) {
	clientEnd, conn := acceptedConn(t)
	if err := conn.MarkAwaitingResponse(1); err != nil {
		t.Fatal(err)
	}
	clientEnd.Write([]byte("x"))
	if conn.CheckClientDisconnected() {
		t.Error("connected client: got disconnected, want connected")
	}
	clientEnd.Write([]byte("xx"))
	disconnect(clientEnd)
	sidecartest.WaitFor(t, "the sidecar detects that the client has disconnected", conn.CheckClientDisconnected)
}

// awaitClosed waits until the kernel reports that the other end of a connection is closed.
func awaitClosed(t *testing.T, conn *downstream.Conn) {
	t.Helper()
	sidecartest.WaitFor(t, "the kernel reports that the client has disconnected", func() bool {
		return socket.Peek(conn.TCPConn) == socket.Closed
	})
}

// acceptedConn returns both ends of a client's connection. No goroutine reads from the accepted end.
func acceptedConn(t *testing.T) (clientEnd net.Conn, conn *downstream.Conn) {
	t.Helper()
	clientEnd, acceptedEnd := sidecartest.ConnPair(t)
	conn = downstream.NewConnTracker(1).Add(acceptedEnd)
	t.Cleanup(func() { conn.Close() })
	return clientEnd, conn
}
