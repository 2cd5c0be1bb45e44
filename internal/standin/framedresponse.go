package standin

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Framing is how a response delimits its body.
type Framing int

// The framings of a response.
const (
	FramedByLength Framing = iota // Content-Length
	FramedByChunks                // Transfer-Encoding: chunked
	FramedByClose                 // Connection: close, and the body ends with the connection
)

// framedResponse is a response whose body is written in parts.
type framedResponse struct {
	status            string // status code and reason phrase
	body              string
	framing           Framing
	partCount         int
	pauseBetweenParts time.Duration
}

// responseBody returns the body of the response to a request, with padding bytes appended. It contains the trace ID, so
// that a client detects a response to another request.
func responseBody(traceID string, padding int) string {
	return "served " + traceID + "\n" + strings.Repeat(".", padding)
}

// BodyMatches reports whether a body is the one of a response to the request with a trace ID, with any length of
// padding.
func BodyMatches(body []byte, traceID string) bool {
	rest, found := strings.CutPrefix(string(body), responseBody(traceID, 0))
	return found && strings.Trim(rest, ".") == ""
}

// write writes the complete response. It returns net.ErrClosed if peerClosed is closed before the last part is written.
func (r *framedResponse) write(conn net.Conn, peerClosed <-chan struct{}) error {
	segments := r.segments(r.bodyParts())
	segments[len(segments)-1] += r.lastChunk()
	return r.writeSegments(conn, segments, peerClosed)
}

// writeTruncated writes the response up to the middle of its last part. It returns the same errors as write.
func (r *framedResponse) writeTruncated(conn net.Conn, peerClosed <-chan struct{}) error {
	parts := r.bodyParts()
	last := &parts[len(parts)-1]
	*last = (*last)[:len(*last)/2]
	return r.writeSegments(conn, r.segments(parts), peerClosed)
}

// writeSegments writes the segments of a response with pauses between them.
func (r *framedResponse) writeSegments(conn net.Conn, segments []string, peerClosed <-chan struct{}) error {
	for i, segment := range segments {
		if i > 0 && !waitUnlessClosed(r.pauseBetweenParts, peerClosed) {
			return net.ErrClosed
		}
		if _, err := io.WriteString(conn, segment); err != nil {
			return err
		}
	}
	return nil
}

// bodyParts splits the body into partCount parts, but at least one and no more than the body has bytes.
func (r *framedResponse) bodyParts() []string {
	count := max(1, min(r.partCount, len(r.body)))
	parts := make([]string, count)
	for i := range parts {
		parts[i] = r.body[i*len(r.body)/count : (i+1)*len(r.body)/count]
	}
	return parts
}

// segments returns the encoded parts of the body, with the head of the response before the first one.
func (r *framedResponse) segments(parts []string) []string {
	segments := make([]string, len(parts))
	for i, part := range parts {
		segments[i] = r.framePart(part)
	}
	segments[0] = r.head() + segments[0]
	return segments
}

// head returns the status line and the header, with the empty line after it.
func (r *framedResponse) head() string {
	switch r.framing {
	case FramedByChunks:
		return "HTTP/1.1 " + r.status + "\r\nTransfer-Encoding: chunked\r\n\r\n"
	case FramedByClose:
		return "HTTP/1.1 " + r.status + "\r\nConnection: close\r\n\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n", r.status, len(r.body))
}

// framePart returns a part of the body as it is sent, with chunked framing as a chunk.
func (r *framedResponse) framePart(part string) string {
	if r.framing == FramedByChunks {
		return fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}
	return part
}

// lastChunk returns what ends the body: the last chunk with chunked framing, and nothing otherwise.
func (r *framedResponse) lastChunk() string {
	if r.framing == FramedByChunks {
		return "0\r\n\r\n"
	}
	return ""
}
