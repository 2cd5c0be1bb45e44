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

// Request is a request that a client sends. Its method is GET if it is idempotent, and POST otherwise.
type Request struct {
	TraceID         string
	Class           string
	Idempotency     balance.Idempotency
	Tenant          string
	Deadline        time.Duration // time within which the client wants the response; X-Expires-In carries it
	DisconnectAfter time.Duration // time from the last byte written until the client disconnects; 0: it waits past Deadline
	PartCount       int           // number of parts in which the request is written; 0 and 1: in one write
	PartPause       time.Duration // pause between two parts
	BodyBytes       int           // length of the body of a POST, in bytes
}

// TraceID returns the trace ID for a request number. All trace IDs have the same length.
func TraceID(number int) string { return "t" + strconv.FormatInt(int64(number)+1<<40, 16) }

// method returns the HTTP method of the request.
func (r *Request) method() string {
	if r.Idempotency == balance.Idempotent {
		return http.MethodGet
	}
	return http.MethodPost
}

// writeRequest writes the request in its parts, with pauses between them.
func (r *Request) writeRequest(conn net.Conn) error {
	text := r.encode()
	parts := max(1, r.PartCount)
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

// encode returns the request in HTTP/1.1 format, with the platform's header fields.
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
