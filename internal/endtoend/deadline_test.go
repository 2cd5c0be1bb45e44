package endtoend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// ampleMemoryMB is a memory limit that no test of times reaches.
	ampleMemoryMB = 192
	usualSockets  = 1024
)

// pieces is how a response body is written: the pause comes after the head and after each piece.
type pieces struct {
	chunked bool
	pause   time.Duration
	count   int
}

const pieceText = "0123456789"

// respondInPieces returns a handler that reads the body and writes the response in pieces.
func respondInPieces(form pieces) orderHandler {
	return func(conn net.Conn, _ *bufio.Reader, order *http.Request) bool {
		io.Copy(io.Discard, order.Body)
		head, piece, end := "Connection: close", pieceText, ""
		if form.chunked {
			head, piece, end = "Transfer-Encoding: chunked", "a\r\n"+pieceText+"\r\n", "0\r\n\r\n"
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+"\r\n\r\n")
		for range form.count {
			time.Sleep(form.pause)
			io.WriteString(conn, piece)
		}
		time.Sleep(form.pause)
		io.WriteString(conn, end)
		return false
	}
}

// TestResponseThatPausesAfterItsHeadIsForwarded guards against giving up a response of unknown length whose body begins late:
// the client got 502, and a second endpoint the work.
func TestResponseThatPausesAfterItsHeadIsForwarded(t *testing.T) {
	const count = 5
	for _, chunked := range []bool{true, false} {
		for _, pause := range []time.Duration{0, 10, 25, 100, 200} {
			form := pieces{chunked: chunked, pause: pause * time.Millisecond, count: count}
			t.Run(fmt.Sprintf("%+v", form), func(t *testing.T) {
				t.Parallel()
				s := start(t, options{memoryMB: ampleMemoryMB, sockets: usualSockets, orders: respondInPieces(form)})
				traceID, conn := newTraceID(), s.dial(t)
				io.WriteString(conn, orderHead(traceID, contentLength(0)))
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(response.Body)
				want := strings.Repeat(pieceText, count)
				if err != nil || response.StatusCode != http.StatusOK || string(body) != want {
					t.Errorf("got status %d, body %q, error %v; want 200, %q", response.StatusCode, body, err, want)
				}
				if got := s.attempts(traceID); got != 1 {
					t.Errorf("got %d attempts, want 1", got)
				}
			})
		}
	}
}

// TestResponseWithoutBodyUntilDeadlineFails guards against a client that waits after its deadline for a body that never
// begins, and against a second attempt of its request.
func TestResponseWithoutBodyUntilDeadlineFails(t *testing.T) {
	t.Parallel()
	form := pieces{chunked: true, pause: 2 * orderDeadline, count: 1}
	s := start(t, options{memoryMB: ampleMemoryMB, sockets: usualSockets, orders: respondInPieces(form)})
	traceID, conn := newTraceID(), s.dial(t)
	io.WriteString(conn, orderHead(traceID, contentLength(0)))
	sentAt := time.Now()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if elapsed := time.Since(sentAt); elapsed > orderDeadline+lateAfter || response.StatusCode < http.StatusInternalServerError {
		t.Errorf("got status %d after %v, want a failure within %v", response.StatusCode, elapsed, orderDeadline+lateAfter)
	}
	if got := s.attempts(traceID); got != 1 {
		t.Errorf("got %d attempts, want 1", got)
	}
}

// readAtRate returns a handler that reads the body at a rate in bytes per second and responds. It stops after limit bytes.
func readAtRate(rate, limit int) orderHandler {
	const pause = 50 * time.Millisecond
	return func(conn net.Conn, _ *bufio.Reader, order *http.Request) bool {
		piece := int64(rate) * int64(pause) / int64(time.Second)
		for total := int64(0); total < int64(limit); time.Sleep(pause) {
			n, err := io.CopyN(io.Discard, order.Body, piece)
			total += n
			if err == io.EOF {
				return readAndRespond(0, 10)(conn, nil, order)
			}
			if err != nil {
				return false
			}
		}
		time.Sleep(4 * orderDeadline) // longer than any response may take
		return false
	}
}

const unlimited = 1 << 30

// longOrder is an order whose body an endpoint reads slowly or not at all.
type longOrder struct {
	size          int
	chunked       bool
	receiveBuffer int
	rate, limit   int
}

func (o longOrder) text(traceID string) string {
	body := strings.Repeat("b", o.size)
	if o.chunked {
		return orderHead(traceID, "Transfer-Encoding: chunked\r\n") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", o.size, body)
	}
	return orderHead(traceID, contentLength(o.size)) + body
}

// TestLongOrderIsAnsweredInTime guards against a final response seconds after the deadline of an order whose endpoint reads
// the body slowly or stops: its time ran only from the last byte that the endpoint had accepted.
func TestLongOrderIsAnsweredInTime(t *testing.T) {
	const slow, kiB, miB = 96 << 10, 1 << 10, 1 << 20
	var orders []longOrder
	for _, size := range []int{700 * kiB, 3 * miB, 5 * miB, 8 * miB} {
		for _, chunked := range []bool{false, true} {
			orders = append(orders,
				longOrder{size: size, chunked: chunked, rate: slow, limit: unlimited},
				longOrder{size: size, chunked: chunked, rate: slow, limit: unlimited, receiveBuffer: 16 * kiB},
				longOrder{size: size, chunked: chunked, rate: slow, limit: 8 * kiB, receiveBuffer: 16 * kiB})
		}
	}
	var running sync.WaitGroup
	defer running.Wait()
	for _, order := range orders {
		s := start(t, options{
			memoryMB: ampleMemoryMB, sockets: usualSockets, receiveBuffer: order.receiveBuffer, orders: readAtRate(order.rate, order.limit),
		})
		conn := s.dial(t)
		running.Go(func() { checkAnsweredInTime(t, conn, order) })
	}
}

// checkAnsweredInTime writes an order and checks that its response comes in time after its last byte was accepted.
func checkAnsweredInTime(t *testing.T, conn net.Conn, order longOrder) {
	responses := make(chan error, 1)
	var respondedAt time.Time
	go func() {
		_, err := http.ReadResponse(bufio.NewReader(conn), nil)
		respondedAt = time.Now()
		responses <- err
	}()
	_, writeErr := io.WriteString(conn, order.text(newTraceID()))
	writtenAt := time.Now()
	err := <-responses
	if late := respondedAt.Sub(writtenAt); err != nil || late > orderDeadline+lateAfter {
		t.Errorf("%+v: got a response %v after the last byte (read: %v, write: %v), want one within %v",
			order, late, err, writeErr, orderDeadline+lateAfter)
	}
}

// TestLivingEndpointGetsLongOrder guards against giving up an order that its endpoint reads more slowly than the client writes
// it, but fast enough for a response in time.
func TestLivingEndpointGetsLongOrder(t *testing.T) {
	const size, rate = 24 << 20, 12 << 20
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked=%v", chunked), func(t *testing.T) {
			t.Parallel()
			s := start(t, options{memoryMB: ampleMemoryMB, sockets: usualSockets, receiveBuffer: 64 << 10, orders: readAtRate(rate, unlimited)})
			conn := s.dial(t)
			conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
			go io.WriteString(conn, longOrder{size: size, chunked: chunked}.text(newTraceID()))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("got response %v, error %v, want status 200", response, err)
			}
		})
	}
}
