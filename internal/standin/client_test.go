package standin

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestClientThatLeavesWithinAHeadHasDisconnected guards against blaming the sidecar for a response that the client itself cut off.
func TestClientThatLeavesWithinAHeadHasDisconnected(t *testing.T) {
	for _, part := range []string{"HTTP/1.1 200 OK\r\nCo", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		go func() {
			if conn, err := listener.Accept(); err == nil {
				io.WriteString(conn, part)
				io.Copy(io.Discard, conn)
			}
		}()
		exchange := NewClient(listener.Addr().String()).Do(Request{TraceID: TraceID(1), Deadline: time.Second, DisconnectAfter: 50 * time.Millisecond})
		if exchange.Outcome != ExchangeClientDisconnected {
			t.Errorf("%q: got outcome %v, want %v", part, exchange.Outcome, ExchangeClientDisconnected)
		}
	}
}
