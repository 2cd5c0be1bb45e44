package endtoend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// killDelay is when the platform kills the process after SIGTERM: the longest deadline and 0.7 s more.
	killDelay = lookupDeadline + 700*time.Millisecond
	// excusedDelay is how long after SIGTERM a request may be complete and unanswered when the process is killed.
	excusedDelay = 700 * time.Millisecond
)

// pacedOrder is an order with a long body that a client writes evenly, before and during a shutdown.
type pacedOrder struct {
	size      int
	chunked   bool
	lastByte  time.Duration // when the last byte is written, after SIGTERM
	writtenAt time.Time     // when it was; zero: never
	status    int           // of the response; 0: none
}

// beforeTerm is how long before SIGTERM the orders are begun.
const beforeTerm = time.Second

// send writes the order over a connection and reads the response, which may come before the last byte is written.
func (o *pacedOrder) send(conn net.Conn) {
	var writing sync.WaitGroup
	defer writing.Wait()
	writing.Go(func() { o.write(conn) })
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		o.status = response.StatusCode
	}
}

// write writes the order evenly.
func (o *pacedOrder) write(conn net.Conn) {
	const pieceBytes = 16 << 10
	text := longOrder{size: o.size, chunked: o.chunked}.text(newTraceID())
	begin, duration := time.Now(), beforeTerm+o.lastByte
	for written := 0; written < len(text); {
		end := min(written+pieceBytes, len(text))
		time.Sleep(time.Until(begin.Add(duration * time.Duration(end) / time.Duration(len(text)))))
		if _, err := io.WriteString(conn, text[written:end]); err != nil {
			return
		}
		written = end
	}
	o.writtenAt = time.Now()
}

// readUntilHanging returns a handler that reads the body and responds, and stops both once hanging is set.
func readUntilHanging(hanging *atomic.Bool) orderHandler {
	const pieceBytes = 16 << 10
	return func(conn net.Conn, reader *bufio.Reader, order *http.Request) bool {
		for {
			if hanging.Load() {
				return hang(conn, reader, order)
			}
			if _, err := io.CopyN(io.Discard, order.Body, pieceBytes); err == io.EOF {
				return readAndRespond(0, 10)(conn, reader, order)
			} else if err != nil {
				return false
			}
		}
	}
}

// TestLongOrderCompleteLateInShutdownIsAnswered guards against long bodies that are written completely late in a shutdown while
// the endpoints hang, and get no response before the process is killed: they waited in the buffers of the kernel.
func TestLongOrderCompleteLateInShutdownIsAnswered(t *testing.T) {
	for _, lastByte := range []time.Duration{1300, 1900, 2200, 2500} {
		t.Run(fmt.Sprintf("complete after %d ms", lastByte), func(t *testing.T) {
			var orders []*pacedOrder
			for megabytes := 4; megabytes <= 11; megabytes++ {
				orders = append(orders, &pacedOrder{
					size: megabytes << 20, chunked: megabytes%2 == 0, lastByte: lastByte * time.Millisecond,
				})
			}
			checkOrdersDuringShutdown(t, orders)
		})
	}
}

// checkOrdersDuringShutdown sends orders, of which the endpoints read nothing more from SIGTERM on. It checks that each one that
// is complete late in the shutdown has its response when the process is killed.
func checkOrdersDuringShutdown(t *testing.T, orders []*pacedOrder) {
	t.Helper()
	var hanging atomic.Bool
	s := start(t, options{memoryMB: ampleMemoryMB, sockets: usualSockets, orders: readUntilHanging(&hanging)})
	var clients sync.WaitGroup
	for _, order := range orders {
		conn := s.dial(t)
		clients.Go(func() { order.send(conn) })
	}
	time.Sleep(beforeTerm)
	hanging.Store(true)
	termAt := time.Now()
	s.Signal(syscall.SIGTERM)
	time.Sleep(killDelay)
	killAt := time.Now()
	s.Kill()
	clients.Wait()
	for _, order := range orders {
		completeAfter := order.writtenAt.Sub(termAt)
		if order.status == 0 && completeAfter > excusedDelay && order.writtenAt.Before(killAt) {
			t.Errorf("%d MiB, chunked: %v, complete %v after SIGTERM: got no response, want one",
				order.size>>20, order.chunked, completeAfter)
		}
	}
}
