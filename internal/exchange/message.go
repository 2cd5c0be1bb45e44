package exchange

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

// Message is the part of a client's request that is sent to an endpoint. It does not change once the event loop has it; several
// attempts may read it together.
type Message struct {
	Method     string
	RequestURI string // as the client wrote it
	Host       string
	Header     http.Header
	Body       []byte
	Upload     *Upload // the body if it is too long to be buffered, in place of Body
	// ClientDisconnected checks the connection for a close by the client that the event loop may not have seen yet. It may
	// discard bytes that the client sent after the request.
	ClientDisconnected func() bool
}

// Encode returns the message in HTTP/1.1 form, with the time that remains until the deadline in ExpiryHeader.
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

// NewRequest returns the message as a request with the given body, whose length in bytes is -1 if it is unknown. The
// remaining time goes to the endpoint in ExpiryHeader, as one microsecond at least.
func (m *Message) NewRequest(remaining time.Duration, body io.ReadCloser, length int64) *http.Request {
	req := &http.Request{
		Method: m.Method,
		URL:    &url.URL{Opaque: m.RequestURI}, // written as it is, without cleaning
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
