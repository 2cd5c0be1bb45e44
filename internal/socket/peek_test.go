package socket_test

import (
	"fmt"
	"io"
	"testing"

	"cindersaddle/internal/sidecartest"
	"cindersaddle/internal/socket"
)

// TestPeekReportsState checks that Peek detects a close by the peer, which package net does not report before a
// request is written to the connection, and that bytes sent before the close are reported first.
func TestPeekReportsState(t *testing.T) {
	peer, conn := sidecartest.ConnPair(t)
	defer conn.Close()
	expect := func(want socket.State) {
		t.Helper()
		sidecartest.WaitFor(t, fmt.Sprintf("Peek returns state %d", want), func() bool { return socket.Peek(conn) == want })
	}
	if state := socket.Peek(conn); state != socket.Silent {
		t.Errorf("open connection without bytes: got state %d, want %d", state, socket.Silent)
	}
	io.WriteString(peer, "x")
	expect(socket.Readable)
	peer.Close()
	if state := socket.Peek(conn); state != socket.Readable {
		t.Errorf("closed by the peer after a byte: got state %d, want %d", state, socket.Readable)
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	expect(socket.Closed)
	conn.Close()
	if state := socket.Peek(conn); state != socket.Closed {
		t.Errorf("closed by this side: got state %d, want %d", state, socket.Closed)
	}
}
