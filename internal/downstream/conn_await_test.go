package downstream

import (
	"io"
	"testing"
	"time"

	"cindersaddle/internal/sidecartest"
)

// TestDisconnectBehindUnreadBytesIsDetected guards against an attempt for a client that has left: the end of its connection is
// behind bytes of a long body that nobody has read yet.
func TestDisconnectBehindUnreadBytesIsDetected(t *testing.T) {
	client, accepted := sidecartest.ConnPair(t)
	conn := NewConnTracker(1).Add(accepted)
	defer conn.Close()
	io.WriteString(client, "unread")
	if conn.CheckClientDisconnected() {
		t.Error("connected client: got disconnected, want not")
	}
	client.Close()
	for deadline := time.Now().Add(sidecartest.Timeout); !conn.CheckClientDisconnected(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("client that has closed the connection: got not disconnected")
		}
	}
}
