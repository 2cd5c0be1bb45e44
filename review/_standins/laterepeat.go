package main

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	repeatWindow      = 500 * time.Millisecond // window_ms of port-order, a third of its deadline
	repeatSlack       = 200 * time.Millisecond // 50 ms of PROTOCOL-cindersaddle.md and 0.15 s of STANDING.md
	repeatBodyLength  = 768 << 10
	repeatSegmentSize = 1460     // as on an Ethernet
	repeatReceiveSize = 32 << 10 // receive buffer of a server
	repeatPiece       = 16 << 10 // what client and server write and read at a time
	clientPiecePause  = 20 * time.Millisecond
	serverPiecePause  = 16 * time.Millisecond // 1 MB a second
	repeatOrders      = 10
)

// playLateRepeat sends orders with long bodies, which client and server transfer at 1 MB a second at most. The connection
// of the first attempt of each order is reset after the server has run it.
func playLateRepeat() bool {
	memory := newKeyMemory(repeatWindow + repeatSlack)
	var mu sync.Mutex
	attempts := map[string]int{}
	_, members := startServers(9, repeatSegmentSize, func(c *serverConn, r *http.Request) bool {
		c.SetReadBuffer(repeatReceiveSize)
		traceID, key := r.Header.Get("X-Trace-Id"), r.Header.Get("Idempotency-Key")
		mu.Lock()
		attempts[traceID]++
		number := attempts[traceID]
		mu.Unlock()
		record("server %s (%s): head of attempt %d of %s", c.server.id, c.server.zone, number, traceID)
		var length int64
		windowOver := false
		for length < r.ContentLength {
			n, err := io.CopyN(io.Discard, r.Body, min(repeatPiece, r.ContentLength-length))
			length += n
			if err != nil {
				record("server %s: %d bytes of the body of attempt %d of %s came: %v", c.server.id, length, number, traceID, err)
				return false
			}
			if forgotten := memory.sinceRun(c.server.zone, key) > repeatWindow+repeatSlack; forgotten && !windowOver {
				windowOver = true
				record("server %s: the window is over; %d of %d bytes of attempt %d of %s have come",
					c.server.id, length, r.ContentLength, number, traceID)
			}
			time.Sleep(serverPiecePause)
		}
		applied, since := memory.run(c.server.zone, key)
		record("server %s: last byte of attempt %d of %s; effect applied: %v; last run of the key in %s before: %v",
			c.server.id, number, traceID, applied, c.server.zone, since)
		work(50 * time.Millisecond)
		if trouble && number == 1 {
			record("server %s: the connection of attempt 1 of %s is reset", c.server.id, traceID)
			return c.reset()
		}
		return c.respond(http.StatusOK, answerTo(r)) == nil
	})
	s := startSidecar(startDiscovery(members), options{orderWindowMS: float64(repeatWindow.Milliseconds())})

	for range repeatOrders {
		c, traceID := dial(s.address), newTraceID()
		_, err := io.WriteString(c, orderHead(traceID, repeatBodyLength))
		check(err)
		for range repeatBodyLength / repeatPiece {
			if _, err := io.WriteString(c, strings.Repeat("b", repeatPiece)); err != nil {
				record("port-order %s: write: %v", traceID, err)
				break
			}
			time.Sleep(clientPiecePause)
		}
		record("port-order %s: last byte written, %d bytes are not acknowledged", traceID, c.unacknowledged())
		got := c.readAnswer(time.Now().Add(5 * time.Second))
		record("port-order %s: status %d, body %q, error: %v", traceID, got.status, got.body, got.err)
		c.Close()
	}
	twice := 0
	for key, runs := range memory.runs {
		if runs > 1 {
			twice++
			record("%s was run %d times", key, runs)
		}
	}
	record("%d of %d orders were run more than once; sidecar still running: %v", twice, len(memory.runs), s.running())
	if len(memory.runs) == 0 {
		fatal("no order was run")
	}
	return twice == 0
}
