package standin

import (
	"io"
	"net"
	"time"
)

// ReplyKind is how a server treats a request.
type ReplyKind int

// The kinds of replies.
const (
	ReplyServed        ReplyKind = iota // status 200 and a body
	ReplyError                          // status 500: the request was executed
	ReplyNeverExecuted                  // status 503 with the header field that proves that the request was not executed
	ReplyReset                          // the connection is reset after the request was executed
	ReplyHang                           // nothing, until the other side closes the connection
	ReplyMalformed                      // a response that cannot be parsed
	ReplyTruncated                      // part of a response, then a reset
)

// Reply is what a server does with one request.
type Reply struct {
	Kind      ReplyKind
	Framing   Framing
	Delay     time.Duration // until the response begins
	Parts     int           // the body is written in this many parts; 0 and 1: at once, with the head
	PartPause time.Duration // between two parts
	Padding   int           // bytes added to the body
}

// respond carries out the reply to the request with a trace ID. It returns how the attempt ended, and whether the connection
// persists. gone is closed when the other side has closed the connection.
func (r *Reply) respond(conn net.Conn, traceID string, gone <-chan struct{}) (end AttemptEnd, persists bool) {
	if !waitOrGone(r.Delay, gone) {
		return AttemptClosedBySidecar, false
	}
	switch r.Kind {
	case ReplyServed:
		return r.respondWhole(conn, "200 OK", traceID, AttemptServed, gone)
	case ReplyError:
		return r.respondWhole(conn, "500 Oops", traceID, AttemptFailed, gone)
	case ReplyNeverExecuted:
		return AttemptNeverExecuted, writeNeverExecuted(conn) == nil
	case ReplyHang:
		<-gone
		return AttemptClosedBySidecar, false
	case ReplyMalformed:
		io.WriteString(conn, "HTTP/1.1 2x0 OK\r\n\r\n")
	case ReplyTruncated:
		r.message("200 OK", traceID).writeTruncated(conn, gone)
		reset(conn)
	case ReplyReset:
		reset(conn)
	}
	return AttemptBroken, false
}

// respondWhole writes a complete response. It returns end, or that the sidecar closed the connection if the write fails.
func (r *Reply) respondWhole(
	conn net.Conn, status, traceID string, end AttemptEnd, gone <-chan struct{},
) (AttemptEnd, bool) {
	if err := r.message(status, traceID).write(conn, gone); err != nil {
		return AttemptClosedBySidecar, false
	}
	return end, r.Framing != FramedByClose
}

// message returns the response with a status.
func (r *Reply) message(status, traceID string) *message {
	return &message{status: status, body: bodyFor(traceID, r.Padding), framing: r.Framing, parts: r.Parts, partPause: r.PartPause}
}

// writeNeverExecuted writes a rejection with the proof that the request was not executed.
func writeNeverExecuted(conn net.Conn) error {
	_, err := io.WriteString(conn, "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
	return err
}

// writeHealthy writes the response to a health check.
func writeHealthy(conn net.Conn) error {
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	return err
}

// waitOrGone waits for a pause and reports true, or false as soon as gone is closed.
func waitOrGone(pause time.Duration, gone <-chan struct{}) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-gone:
		return false
	}
}
