package exchange

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

// Message is the HTTP request that is sent to endpoints. It does not change once the event loop owns its Exchange; several
// attempts may read it concurrently.
type Message struct {
	Method     string
	RequestURI string // exactly as the client sent it
	Host       string
	Header     http.Header
	Body       []byte
	Upload     *Upload // replaces Body if the body is too long to be buffered
	// ClientDisconnected reports whether the client has closed its connection, which the event loop may not know yet.
	// It may discard bytes that the client sent after the request.
	ClientDisconnected func() bool
}

// Encode returns the message in HTTP/1.1 format. ExpiryHeader holds the time that remains until the deadline.
func (m *Message) Encode(deadline time.Time) ([]byte, error) {
	var body io.ReadCloser
	if len(m.Body) > 0 {
		body = io.NopCloser(bytes.NewReader(m.Body))
	}
	req := m.NewRequest(time.Until(deadline), body, int64(len(m.Body)))
	var encoded bytes.Buffer
	if err := req.Write(&encoded); err != nil {
		return nil, fmt.Errorf("encode request %s %s: %w", m.Method, m.RequestURI, err)
	}
	return encoded.Bytes(), nil
}

// NewRequest returns the message as an http.Request with the given body. length is the length of the body in bytes, or -1
// if it is unknown. ExpiryHeader holds the remaining time, at least one microsecond.
func (m *Message) NewRequest(remaining time.Duration, body io.ReadCloser, length int64) *http.Request {
	req := &http.Request{
		Method: m.Method,
		URL:    &url.URL{Opaque: m.RequestURI}, // written as it is, without normalization
		Header: m.Header.Clone(),
		Host:   m.Host,
	}
	req.Header.Set(ExpiryHeader, formatExpiry(remaining))
	if req.Header.Get("User-Agent") == "" {
		req.Header.Set("User-Agent", "") // otherwise Write adds a default one
	}
	if body != nil {
		req.Body = body
		req.ContentLength = length
	} else if m.Method != http.MethodGet {
		req.Body = http.NoBody
	}
	return req
}
