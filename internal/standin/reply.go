package standin

import (
	"io"
	"net"
	"time"
)

// ReplyKind is the way in which a server handles a request.
type ReplyKind int

// The kinds of replies.
const (
	ReplyServed        ReplyKind = iota // status 200 and a body
	ReplyError                          // status 500: the request was executed
	ReplyNeverExecuted                  // status 503 with X-Never-Ran, which proves that the request was not executed
	ReplyReset                          // the request is executed, then the connection is reset without a response
	ReplyHang                           // no response until the other side closes the connection
	ReplyMalformed                      // a response that cannot be parsed
	ReplyTruncated                      // part of a response, then a reset
)

// Reply defines how a server handles one request.
type Reply struct {
	Kind         ReplyKind
	Framing      Framing
	Delay        time.Duration // time until the response begins
	PartCount    int           // number of parts in which the body is written; 0 and 1: in one write, with the head
	PartPause    time.Duration // pause between two parts
	PaddingBytes int           // number of bytes added to the body
}

// respond handles the request with a trace ID as the reply defines. It returns the outcome of the attempt and whether
// the connection persists. peerClosed is closed when the other side has closed the connection.
func (r *Reply) respond(
	conn net.Conn, traceID string, peerClosed <-chan struct{},
) (outcome AttemptOutcome, persists bool) {
	if !waitUnlessClosed(r.Delay, peerClosed) {
		return AttemptClosedBySidecar, false
	}
	switch r.Kind {
	case ReplyServed:
		return r.respondCompletely(conn, "200 OK", traceID, AttemptServed, peerClosed)
	case ReplyError:
		return r.respondCompletely(conn, "500 Oops", traceID, AttemptFailed, peerClosed)
	case ReplyNeverExecuted:
		return AttemptNeverExecuted, writeNeverExecuted(conn) == nil
	case ReplyHang:
		<-peerClosed
		return AttemptClosedBySidecar, false
	case ReplyMalformed:
		io.WriteString(conn, "HTTP/1.1 2x0 OK\r\n\r\n")
	case ReplyTruncated:
		r.framedResponse("200 OK", traceID).writeTruncated(conn, peerClosed)
		reset(conn)
	case ReplyReset:
		reset(conn)
	}
	return AttemptBroken, false
}

// respondCompletely writes a complete response. It returns the given outcome, or AttemptClosedBySidecar if the write
// fails, and whether the connection persists.
func (r *Reply) respondCompletely(
	conn net.Conn, status, traceID string, outcome AttemptOutcome, peerClosed <-chan struct{},
) (AttemptOutcome, bool) {
	if err := r.framedResponse(status, traceID).write(conn, peerClosed); err != nil {
		return AttemptClosedBySidecar, false
	}
	return outcome, r.Framing != FramedByClose
}

// framedResponse returns the response with a status to the request with a trace ID.
func (r *Reply) framedResponse(status, traceID string) *framedResponse {
	return &framedResponse{
		status:            status,
		body:              responseBody(traceID, r.PaddingBytes),
		framing:           r.Framing,
		partCount:         r.PartCount,
		pauseBetweenParts: r.PartPause,
	}
}

// writeNeverExecuted writes a rejection with X-Never-Ran, which proves that the request was not executed.
func writeNeverExecuted(conn net.Conn) error {
	_, err := io.WriteString(conn, "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
	return err
}

// writeHealthy writes the response to a health check.
func writeHealthy(conn net.Conn) error {
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	return err
}

// waitUnlessClosed waits for a pause and returns true. It returns false as soon as peerClosed is closed.
func waitUnlessClosed(pause time.Duration, peerClosed <-chan struct{}) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-peerClosed:
		return false
	}
}
