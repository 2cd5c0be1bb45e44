package endtoend

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"
)

// TestOrderIsNotExecutedAgainAfterItsClientLeft guards against the second execution of a trace ID: an order reaches an
// endpoint, its client closes the connection and sends the order with the same ID again.
func TestOrderIsNotExecutedAgainAfterItsClientLeft(t *testing.T) {
	s := start(t, options{memoryMB: ampleMemoryMB, sockets: usualSockets, orders: readAndRespond(300*time.Millisecond, 64<<10)})
	checkRepeatedOrders(t, s)
}

// TestOrderIsNotExecutedAgainByOtherProcess guards against the same fault while two processes of an upgrade accept connections
// at one address: the order comes again to the one that has not seen it.
func TestOrderIsNotExecutedAgainByOtherProcess(t *testing.T) {
	s := start(t, options{
		memoryMB: ampleMemoryMB, sockets: usualSockets, orders: readAndRespond(300*time.Millisecond, 64<<10), upgradable: true,
	})
	s.startSuccessor(t)
	checkRepeatedOrders(t, s)
}

// checkRepeatedOrders sends orders whose clients leave and come again, and checks that none is executed twice.
func checkRepeatedOrders(t *testing.T, s *setup) {
	t.Helper()
	const orders = 30
	for i := range orders {
		traceID, conn := newTraceID(), s.dial(t)
		io.WriteString(conn, orderHead(traceID, contentLength(0)))
		for s.attempts(traceID) == 0 {
			time.Sleep(time.Millisecond)
		}
		if i%2 == 1 {
			conn.Read(make([]byte, 1)) // the rest of the response stays unread, so that closing resets the connection
		}
		conn.Close()
		time.Sleep(time.Duration(i) * 5 * time.Millisecond)
		again := s.dial(t)
		io.WriteString(again, orderHead(traceID, contentLength(0)))
		response, err := http.ReadResponse(bufio.NewReader(again), nil)
		if err != nil {
			t.Fatal(err)
		}
		if response.StatusCode != http.StatusConflict {
			t.Errorf("order %d, sent again: got status %d, want 409", i, response.StatusCode)
		}
		if got := s.attempts(traceID); got != 1 {
			t.Errorf("order %d: got %d attempts, want 1", i, got)
		}
	}
}
