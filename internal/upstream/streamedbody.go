package upstream

import (
	"errors"
	"os"
	"time"

	"cindersaddle/internal/http1"
)

// streamedBody reads the rest of a streamed response from its connection, and waits for the endpoint as long as responseLimit
// allows. It is not safe for concurrent use.
type streamedBody struct {
	attempt  *Attempt
	conn     *endpointConn
	response http1.Response
	limit    responseLimit
}

// newStreamedBody returns the rest of a response whose first bytes have been read.
func newStreamedBody(attempt *Attempt, conn *endpointConn, response http1.Response) *streamedBody {
	limit := newResponseLimit(response.Head.ContentLength, attempt.requestDeadline, time.Now())
	limit.record(len(response.Body), response.AnnouncedBytes(), 0)
	return &streamedBody{attempt: attempt, conn: conn, response: response, limit: limit}
}

// Read returns bytes as they arrive. The time that passes between two calls does not count as a pause of the endpoint.
func (b *streamedBody) Read(buffer []byte) (int, error) {
	waitingSince := time.Now()
	for {
		b.attempt.setReadDeadline(b.conn, b.limit.waitUntil(waitingSince))
		n, err := b.response.Head.Body.Read(buffer)
		now := time.Now()
		b.limit.record(n, b.response.AnnouncedBytes(), now.Sub(waitingSince))
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || b.attempt.interrupted() {
			return n, err
		}
		// The limit may have changed while the endpoint was waited for, and others set the deadline of the connection, too.
		if !now.Before(b.limit.waitUntil(waitingSince)) {
			return 0, b.limit.overdueError()
		}
	}
}
