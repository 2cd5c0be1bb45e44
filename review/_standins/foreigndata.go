package main

import (
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	foreignPlayTime = 60 * time.Second
	foreignClients  = 12                   // requests that are open at a time
	secondAnswerIn  = 8 * time.Millisecond // from the first answer to the second one
	secondAnswers   = 0.1                  // share of the answers that get a second one
	shareOfOrders   = 0.39                 // the others are lookups
	orderBody       = "an order to move a number"
)

// playForeignData has servers send a second answer some milliseconds after the first one, and compares each answer that
// a client gets with its request.
func playForeignData() bool {
	var spoilt, wrong, served, other atomic.Int64
	_, members := startServers(9, 0, func(c *serverConn, r *http.Request) bool {
		if !readBody(r) {
			return false
		}
		work(time.Duration(70+rand.IntN(50)) * time.Millisecond)
		body := answerTo(r)
		if c.respond(http.StatusOK, body) != nil {
			return false
		}
		if trouble && rand.Float64() < secondAnswers {
			spoilt.Add(1)
			time.AfterFunc(secondAnswerIn, func() { c.respond(http.StatusOK, body) })
		}
		return true
	})
	s := startSidecar(startDiscovery(members), options{orderWindowMS: 3000})

	end := time.Now().Add(foreignPlayTime)
	var clients sync.WaitGroup
	for range foreignClients {
		clients.Go(func() {
			var c *clientConn
			for time.Now().Before(end) {
				if c == nil {
					c = dial(s.address)
				}
				traceID := newTraceID()
				class, request := "lookup", lookupHead(traceID)
				if rand.Float64() < shareOfOrders {
					class, request = "port-order", orderHead(traceID, len(orderBody))+orderBody
				}
				if _, err := io.WriteString(c, request); err != nil {
					fatal("write of a request: %v", err)
				}
				got := c.readAnswer(time.Now().Add(3 * time.Second))
				switch {
				case got.status != http.StatusOK:
					other.Add(1)
					record("%s %s: status %d, error: %v", class, traceID, got.status, got.err)
				case got.body != "answer to "+traceID:
					wrong.Add(1)
					record("%s %s: status 200, body %q: WRONG", class, traceID, got.body)
				default:
					served.Add(1)
				}
				if got.err != nil || got.close {
					c.Close()
					c = nil
				}
			}
		})
	}
	clients.Wait()
	record("%d requests got their own answer, %d that of another request, %d none with status 200; servers sent %d second answers",
		served.Load(), wrong.Load(), other.Load(), spoilt.Load())
	record("sidecar still running: %v", s.running())
	if served.Load() < 1000 {
		fatal("too few requests were served")
	}
	return wrong.Load() == 0
}
