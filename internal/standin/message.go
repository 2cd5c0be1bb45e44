package standin

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Framing is how a response shows where its body ends.
type Framing int

// The framings of a response.
const (
	FramedByLength Framing = iota // Content-Length
	FramedByChunks                // Transfer-Encoding: chunked
	FramedByClose                 // Connection: close, and the end of the connection
)

// message is a response as it is written in parts.
type message struct {
	status    string // status code and reason phrase
	body      string
	framing   Framing
	parts     int
	partPause time.Duration
}

// bodyFor returns the body of a response. It names the request, so that a client detects the response to another one.
func bodyFor(traceID string, padding int) string {
	return "served " + traceID + "\n" + strings.Repeat(".", padding)
}

// BodyMatches reports whether a body is the complete one of the response to the request with a trace ID.
func BodyMatches(body []byte, traceID string) bool {
	rest, found := strings.CutPrefix(string(body), bodyFor(traceID, 0))
	return found && strings.Trim(rest, ".") == ""
}

// write writes the complete message. It returns net.ErrClosed when gone is closed before the last part.
func (m *message) write(conn net.Conn, gone <-chan struct{}) error {
	texts := m.encode(m.bodyParts())
	texts[len(texts)-1] += m.trailer()
	return m.writeTexts(conn, texts, gone)
}

// writeTruncated writes the message up to the middle of its last part. Its errors are those of write.
func (m *message) writeTruncated(conn net.Conn, gone <-chan struct{}) error {
	parts := m.bodyParts()
	last := &parts[len(parts)-1]
	*last = (*last)[:len(*last)/2]
	return m.writeTexts(conn, m.encode(parts), gone)
}

// writeTexts writes texts with pauses between them.
func (m *message) writeTexts(conn net.Conn, texts []string, gone <-chan struct{}) error {
	for i, text := range texts {
		if i > 0 && !waitOrGone(m.partPause, gone) {
			return net.ErrClosed
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return err
		}
	}
	return nil
}

// bodyParts splits the body into its parts, at least one.
func (m *message) bodyParts() []string {
	count := max(1, min(m.parts, len(m.body)))
	parts := make([]string, count)
	for i := range parts {
		parts[i] = m.body[i*len(m.body)/count : (i+1)*len(m.body)/count]
	}
	return parts
}

// encode returns the texts of the parts of the body, the first one behind the head of the message.
func (m *message) encode(parts []string) []string {
	texts := make([]string, len(parts))
	for i, part := range parts {
		texts[i] = m.frame(part)
	}
	texts[0] = m.head() + texts[0]
	return texts
}

// head returns the status line and the header.
func (m *message) head() string {
	switch m.framing {
	case FramedByChunks:
		return "HTTP/1.1 " + m.status + "\r\nTransfer-Encoding: chunked\r\n\r\n"
	case FramedByClose:
		return "HTTP/1.1 " + m.status + "\r\nConnection: close\r\n\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n", m.status, len(m.body))
}

// frame returns a part of the body as it is sent.
func (m *message) frame(part string) string {
	if m.framing == FramedByChunks {
		return fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}
	return part
}

// trailer returns what follows the last part of the body.
func (m *message) trailer() string {
	if m.framing == FramedByChunks {
		return "0\r\n\r\n"
	}
	return ""
}
