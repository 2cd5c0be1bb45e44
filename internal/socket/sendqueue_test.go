package socket_test

import (
	"io"
	"net"
	"testing"

	"cindersaddle/internal/sidecartest"
	"cindersaddle/internal/socket"
)

// TestUnacknowledgedFollowsPeer checks that bytes count as unacknowledged until the machine of the peer has room for
// them, although the kernel on this side has accepted them before.
func TestUnacknowledgedFollowsPeer(t *testing.T) {
	const written = 1 << 20
	peer, conn := sidecartest.ConnPair(t)
	if err := conn.SetWriteBuffer(2 * written); err != nil {
		t.Fatal(err)
	}
	if err := peer.(*net.TCPConn).SetReadBuffer(written / 16); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(make([]byte, written)); err != nil {
		t.Fatal(err)
	}
	if got, err := socket.Unacknowledged(conn); err != nil || got <= 0 || got >= written {
		t.Errorf("before the peer reads: got %d unacknowledged bytes, error %v; want some of %d", got, err, written)
	}
	if _, err := io.CopyN(io.Discard, peer, written); err != nil {
		t.Fatal(err)
	}
	sidecartest.WaitFor(t, "all bytes are acknowledged", func() bool {
		got, err := socket.Unacknowledged(conn)
		return err == nil && got == 0
	})
	conn.Close()
	if got, err := socket.Unacknowledged(conn); err == nil {
		t.Errorf("closed connection: got %d bytes and no error, want an error", got)
	}
}
