package exchange

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"time"

	"cindersaddle/internal/memory"
)

// Message is the HTTP request that is sent to endpoints. It does not change once the event loop owns its Exchange; several
// attempts may read it concurrently.
type Message struct {
	Method     string
	RequestURI string // exactly as the client sent it
	Host       string
	Header     http.Header
	Body       []byte
	Upload     *Upload             // replaces Body if the body is too long to be buffered
	Memory     *memory.Reservation // as in Exchange; responses count against it
	// ClientDisconnected reports whether the client has closed its connection, which the event loop may not know yet.
	// It may discard bytes that the client sent after the request.
	ClientDisconnected func() bool
}

// EncodeHead returns the head of the message in HTTP/1.1 format, with the empty line at its end. ExpiryHeader holds the
// remaining time, at least one microsecond. The length of the body is that of Body, or of Upload, which is sent in chunks if its
// length is unknown.
func (m *Message) EncodeHead(remaining time.Duration) []byte {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", m.Method, m.RequestURI, m.Host)
	if userAgent := m.Header.Get("User-Agent"); userAgent != "" {
		fmt.Fprintf(&head, "User-Agent: %s\r\n", userAgent)
	}
	switch length := m.bodyLength(); {
	case length < 0:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case length > 0 || m.Method != http.MethodGet:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", length)
	}
	header := maps.Clone(m.Header)
	header.Set(ExpiryHeader, formatExpiry(remaining))
	header.WriteSubset(&head, framingHeaders) // a buffer accepts all bytes
	head.WriteString("\r\n")
	return head.Bytes()
}

// framingHeaders are the headers that EncodeHead writes itself, or that do not apply to the message.
var framingHeaders = map[string]bool{
	"Host": true, "User-Agent": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true,
}

// bodyLength returns the length of the body in bytes, or http1.UnknownLength.
func (m *Message) bodyLength() int64 {
	if m.Upload != nil {
		return m.Upload.Length
	}
	return int64(len(m.Body))
}
