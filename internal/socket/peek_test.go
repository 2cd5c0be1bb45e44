package socket_test

import (
	"io"
	"testing"

	"cindersaddle/internal/sidecartest"
	"cindersaddle/internal/socket"
)

// A connection may look open to net while its peer has closed it. Peek must know that before a request is written to it,
// and must not count a peer that has sent bytes before its close as closed.
func TestPeekReportsState(t *testing.T) {
	peer, conn := sidecartest.ConnPair(t)
	defer conn.Close()
	expect := func(want socket.State) {
		t.Helper()
		sidecartest.WaitFor(t, "the kernel knows the state", func() bool { return socket.Peek(conn) == want })
	}
	if state := socket.Peek(conn); state != socket.Silent {
		t.Errorf("state %d of an open connection without bytes, want %d", state, socket.Silent)
	}
	io.WriteString(peer, "x")
	expect(socket.Readable)
	peer.Close()
	if state := socket.Peek(conn); state != socket.Readable {
		t.Errorf("state %d with a byte ahead of the close, want %d", state, socket.Readable)
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	expect(socket.Closed)
	conn.Close()
	if state := socket.Peek(conn); state != socket.Closed {
		t.Errorf("state %d of a connection that this side closed, want %d", state, socket.Closed)
	}
}
