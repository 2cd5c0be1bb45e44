package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cindersaddle/balance"
)

// Request is what a client sends: a GET if it is idempotent, and otherwise a POST.
type Request struct {
	TraceID     string
	Class       string
	Idempotency balance.Idempotency
	Tenant      string
	Deadline    time.Duration // how long the client waits for the response, which it also states
	LeaveAfter  time.Duration // when the client closes its connection, from the last byte written; 0: at its deadline
	Parts       int           // the request is written in this many parts; 0 and 1: at once
	PartPause   time.Duration // between two parts
	BodyBytes   int           // length of the body of a POST
}

// TraceID returns a trace ID for the request with a number. All have the same length.
func TraceID(number int) string { return "t" + strconv.FormatInt(int64(number)+1<<40, 16) }

// method returns the HTTP method.
func (r *Request) method() string {
	if r.Idempotency == balance.Idempotent {
		return http.MethodGet
	}
	return http.MethodPost
}

// write writes the request in its parts.
func (r *Request) write(conn net.Conn) error {
	text := r.encode()
	parts := max(1, r.Parts)
	for i := range parts {
		if i > 0 {
			time.Sleep(r.PartPause)
		}
		if _, err := io.WriteString(conn, text[i*len(text)/parts:(i+1)*len(text)/parts]); err != nil {
			return err
		}
	}
	return nil
}

// encode returns the request as HTTP/1.1 text, with the header fields of the platform.
func (r *Request) encode() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: %dm\r\n",
		r.method(), r.TraceID, r.Class, r.Deadline.Milliseconds())
	if r.Tenant != "" {
		fmt.Fprintf(&text, "X-Customer: %s\r\n", r.Tenant)
	}
	if r.Idempotency == balance.IdempotencyKey {
		fmt.Fprintf(&text, "Idempotency-Key: key-%s\r\n", r.TraceID)
	}
	if r.method() == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", r.BodyBytes)
	}
	text.WriteString("\r\n")
	if r.method() == http.MethodPost {
		text.WriteString(strings.Repeat("b", r.BodyBytes))
	}
	return text.String()
}
