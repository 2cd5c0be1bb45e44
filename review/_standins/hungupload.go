package main

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	hungDeadline = 1500 * time.Millisecond // of port-order
	hungSlack    = 550 * time.Millisecond  // half a second of STANDING.md, and 50 ms of PROTOCOL-cindersaddle.md
	hungFor      = 10 * time.Second
	hungRead     = 256 << 10 // what the server reads of the body before it hangs
)

// hungBodyLengths are the lengths of the orders. The part that neither the server nor the sidecar reads has to fit into
// the receive buffer of the client's connection, whose size the kernel chooses.
var hungBodyLengths = []int{3<<20 + 512<<10, 3<<20 + 768<<10, 4 << 20, 4<<20 + 128<<10, 4<<20 + 256<<10}

// hang says which server hangs until when.
type hang struct {
	mu     sync.Mutex
	next   bool // the next server that gets an order hangs
	server *server
	until  time.Time
}

// wait blocks while the server hangs.
func (h *hang) wait(s *server, traceID string) {
	h.mu.Lock()
	if h.next {
		h.next, h.server, h.until = false, s, time.Now().Add(hungFor)
		record("server %s hangs for %v from now on, in the middle of %s", s.id, hungFor, traceID)
	}
	until := h.until
	hung := h.server == s
	h.mu.Unlock()
	if hung {
		time.Sleep(time.Until(until))
	}
}

// playHungUpload has one of nine servers hang in the middle of a long order.
func playHungUpload() bool {
	var hung hang
	_, members := startServers(9, 0, func(c *serverConn, r *http.Request) bool {
		traceID := r.Header.Get("X-Trace-Id")
		record("server %s: head of %s", c.server.id, traceID)
		io.CopyN(io.Discard, r.Body, hungRead)
		hung.wait(c.server, traceID)
		if !readBody(r) {
			record("server %s: the body of %s did not come completely", c.server.id, traceID)
			return false
		}
		record("server %s runs %s", c.server.id, traceID)
		work(50 * time.Millisecond)
		return c.respond(http.StatusOK, answerTo(r)) == nil
	})
	s := startSidecar(startDiscovery(members), options{orderWindowMS: 3000})

	held, accepted := true, false
	for _, length := range hungBodyLengths {
		hung.mu.Lock()
		hung.next = trouble
		hung.mu.Unlock()
		c, traceID := dial(s.address), newTraceID()
		_, err := io.WriteString(c, orderHead(traceID, length)+strings.Repeat("b", length))
		check(err)
		writtenAt := time.Now()
		time.Sleep(100 * time.Millisecond)
		unacknowledged := c.unacknowledged()
		record("port-order %s: %d bytes and the head written 100 ms ago; the sidecar's machine has not accepted %d of them",
			traceID, length, unacknowledged)
		got := c.readAnswer(writtenAt.Add(hungDeadline + hungSlack))
		record("port-order %s: %v after the last byte: status %d, body %q, error: %v",
			traceID, time.Since(writtenAt), got.status, got.body, got.err)
		c.Close() // the client has given up
		if unacknowledged == 0 {
			accepted = true
			held = held && got.err == nil
		}
		hung.mu.Lock()
		until := hung.until
		hung.mu.Unlock()
		time.Sleep(time.Until(until))
	}
	record("sidecar still running: %v", s.running())
	if !accepted {
		fatal("the sidecar's machine did not accept all bytes of any order")
	}
	return held
}
