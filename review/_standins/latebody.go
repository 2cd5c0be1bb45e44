package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	lateBodyLength = 200 << 10
	lateBodyPause  = 100 * time.Millisecond // between the head of an answer and its body
	lateBodyCount  = 40
)

// playLateBody has servers give the head of a long answer at once and its body 100 ms later.
func playLateBody() bool {
	_, members := startServers(9, 0, func(c *serverConn, r *http.Request) bool {
		if !readBody(r) {
			return false
		}
		work(50 * time.Millisecond)
		traceID := r.Header.Get("X-Trace-Id")
		body := answerTo(r) + "\n" + strings.Repeat("x", lateBodyLength)
		// One answer of two has chunks, the other one has no length and ends with the connection.
		chunked := traceID[len(traceID)-1]%2 == 0
		head, text := "Connection: close\r\n\r\n", body
		if chunked {
			head, text = "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head)
		if trouble {
			time.Sleep(lateBodyPause)
		}
		_, err := io.WriteString(c, text)
		record("server %s: answer to %s given, chunked: %v, error: %v", c.server.id, traceID, chunked, err)
		return err == nil && chunked
	})
	s := startSidecar(startDiscovery(members), options{orderWindowMS: 3000})

	whole := 0
	for i := range lateBodyCount {
		c, traceID := dial(s.address), newTraceID()
		request := lookupHead(traceID)
		if i%5 == 4 {
			request = orderHead(traceID, 5) + "order"
		}
		_, err := io.WriteString(c, request)
		check(err)
		sentAt := time.Now()
		got := c.readAnswer(sentAt.Add(4 * time.Second))
		forThis := strings.HasPrefix(got.body, "answer to "+traceID+"\n") && len(got.body) > lateBodyLength
		record("%s: %v after the last byte: status %d, %d bytes, whole answer: %v, error: %v",
			traceID, time.Since(sentAt), got.status, len(got.body), forThis, got.err)
		if got.status == http.StatusOK && forThis {
			whole++
		}
		c.Close()
	}
	record("%d of %d requests got their whole answer; sidecar still running: %v", whole, lateBodyCount, s.running())
	return whole == lateBodyCount
}
