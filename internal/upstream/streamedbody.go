package upstream

import (
	"errors"
	"io"
	"os"
	"time"

	"cindersaddle/internal/http1"
)

// streamedBody reads the rest of a streamed response from its connection, and waits for the endpoint as long as responseLimit
// allows. It is not safe for concurrent use.
type streamedBody struct {
	attempt     *Attempt
	conn        *endpointConn
	response    http1.Response
	limit       responseLimit
	length      lengthRecord
	lastArrival time.Time // of the first bytes; zero after the first call of Read
}

// newStreamedBody returns the rest of a response whose first bytes have been read.
func newStreamedBody(observer *attemptObserver, response http1.Response) *streamedBody {
	attempt, arrivals, now := observer.attempt, observer.hold.arrivals, time.Now()
	attempt.readerSetsLimit.Store(true)
	arrivals.record(len(response.Body), now)
	limit := newResponseLimit(response.Head.ContentLength, attempt.requestDeadline, arrivals.first)
	limit.record(len(response.Body), response.AnnouncedBytes(), arrivals.longestPause)
	length := newLengthRecord(attempt.Lengths, response.Head)
	length.observe(limit.received, response.AnnouncedBytes(), false)
	if !length.done && attempt.Lengths.ExpectsLong(limit.received, now) {
		limit.long = true
	}
	return &streamedBody{
		attempt: attempt, conn: observer.conn, response: response, limit: limit, length: length, lastArrival: arrivals.last,
	}
}

// waitingSince returns since when the endpoint has been waited for, if a call of Read begins now. The time that passes between two
// calls does not count, but the time for which the first bytes were held does, as long as the response may be short.
func (b *streamedBody) waitingSince(now time.Time) time.Time {
	lastArrival := b.lastArrival
	b.lastArrival = time.Time{}
	if b.limit.long || lastArrival.IsZero() {
		return now
	}
	return lastArrival
}

// Read returns bytes as they arrive.
func (b *streamedBody) Read(buffer []byte) (int, error) {
	began := time.Now()
	waitingSince := b.waitingSince(began)
	waitUntil := func() time.Time {
		return later(b.limit.waitUntil(waitingSince), began.Add(unreadBytesTimeout))
	}
	for {
		b.attempt.setReadDeadline(b.conn, waitUntil())
		n, err := b.response.Head.Body.Read(buffer)
		now := time.Now()
		b.limit.record(n, b.response.AnnouncedBytes(), now.Sub(waitingSince))
		b.length.observe(b.limit.received, b.response.AnnouncedBytes(), err == io.EOF)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || b.attempt.interrupted() {
			return n, err
		}
		// The limit may have changed while the endpoint was waited for, and others set the deadline of the connection, too.
		if !now.Before(waitUntil()) {
			return 0, b.limit.overdueError(now.Sub(waitingSince))
		}
	}
}
