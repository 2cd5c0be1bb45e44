package standin

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// ReplyKind says how a server treats a request.
type ReplyKind int

// The kinds of replies.
const (
	ReplyServed    ReplyKind = iota // status 200 and a body
	ReplyError                      // status 500: it may have run
	ReplyNeverRan                   // status 503: it surely never ran
	ReplyReset                      // the connection is reset after the work was done
	ReplyHang                       // nothing, until the other side closes
	ReplyMalformed                  // a response that cannot be parsed
	ReplyCut                        // part of a response, and then a reset
)

// Framing says how a response shows where its body ends.
type Framing int

// The framings of a response.
const (
	FramedByLength Framing = iota // Content-Length
	FramedByChunks                // Transfer-Encoding: chunked
	FramedByClose                 // Connection: close, and the end of the connection
)

// Reply is what a server does with one request.
type Reply struct {
	Kind    ReplyKind
	Framing Framing
	Delay   time.Duration   // until the response begins
	Hold    <-chan struct{} // if set, the response begins when it is closed, after Delay
	Pieces  int             // the body is written in so many parts; 0 and 1: at once, with the head
	Pause   time.Duration   // between two parts
	Padding int             // bytes added to the body
}

// bodyOf returns the body of a good response. It names the request, so that a client detects the response of another.
func bodyOf(traceID string, padding int) string {
	return "served " + traceID + "\n" + strings.Repeat(".", padding)
}

// BodyMatches reports whether a body is the complete one of a request's response.
func BodyMatches(body []byte, traceID string) bool {
	rest, found := strings.CutPrefix(string(body), bodyOf(traceID, 0))
	return found && strings.Trim(rest, ".") == ""
}

// head returns the head of a response with the given framing.
func (r *Reply) head(status string, bodyLength int) string {
	switch r.Framing {
	case FramedByChunks:
		return "HTTP/1.1 " + status + "\r\nTransfer-Encoding: chunked\r\n\r\n"
	case FramedByClose:
		return "HTTP/1.1 " + status + "\r\nConnection: close\r\n\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n", status, bodyLength)
}

// frame returns a part of a body as it is sent.
func (r *Reply) frame(part string) string {
	if r.Framing == FramedByChunks {
		return fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}
	return part
}

// end returns what follows the last part of a body.
func (r *Reply) end() string {
	if r.Framing == FramedByChunks {
		return "0\r\n\r\n"
	}
	return ""
}

// writeBody writes a complete response, or only its first part if cut is set. It stops when gone is closed.
func (r *Reply) writeBody(conn net.Conn, status, body string, cut bool, gone <-chan struct{}) error {
	pieces := max(1, min(r.Pieces, len(body)))
	text := r.head(status, len(body))
	for i := range pieces {
		from, to := i*len(body)/pieces, (i+1)*len(body)/pieces
		if cut && i == pieces-1 {
			to = from + (to-from)/2
		}
		text += r.frame(body[from:to])
		if i == pieces-1 && !cut {
			text += r.end()
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return err
		}
		text = ""
		if i < pieces-1 && !waitOrGone(r.Pause, gone) {
			return net.ErrClosed
		}
	}
	return nil
}

// waitOrGone waits for a time and reports true, or false if gone is closed earlier.
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
