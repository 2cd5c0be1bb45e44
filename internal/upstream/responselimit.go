package upstream

import (
	"errors"
	"time"

	"cindersaddle/internal/http1"
)

const (
	// maxResponsePause is how long an endpoint may pause within a long response: endpoints hang for up to 25 s and then go on.
	maxResponsePause = 30 * time.Second
	// lateResponseGrace is how long a response may pause after its request's time without counting as ended. The client may
	// get its final response up to 500 ms late.
	lateResponseGrace = 400 * time.Millisecond
	// pauseVariation is the factor by which a pause may exceed the longest one before it in the same response.
	pauseVariation = 2
	// minLongResponseRate is the least mean rate, in bytes per second, of a response that may become a long one.
	minLongResponseRate = 4 << 10
	// unreadBytesTimeout is how long it takes to read bytes that have arrived.
	unreadBytesTimeout = 20 * time.Millisecond
)

var (
	// errResponseOverdue means that a response of at most http1.MaxBufferedBody bytes, or one that may be as short, was not
	// complete when the time of its request ended.
	errResponseOverdue = errors.New("response not complete in the time of its request")
	// errResponseStalled means that the endpoint paused for too long within a long response.
	errResponseStalled = errors.New("endpoint stopped in the middle of a long response")
)

// responseLength is what is known about the length of a streamed response.
type responseLength int

const (
	lengthShort   responseLength = iota // at most http1.MaxBufferedBody bytes
	lengthLong                          // more
	lengthUnknown                       // not declared; more than http1.MaxBufferedBody bytes may follow
)

// responseLimit determines how long to wait for the next bytes of a streamed response.
//
// The time of a request ends with the last byte of a short response, but with the first bytes of a long one, which only a pause of
// maxResponsePause ends. As long as the length is unknown, the time limit of a short response applies, unless the endpoint still
// sends after it, as it has before: not slower than minLongResponseRate, and without a pause much longer than the ones before.
type responseLimit struct {
	declared     int64         // length of the body, or http1.UnknownLength
	startedAt    time.Time     // when the first bytes had arrived
	received     int64         // bytes of the body that have arrived
	long         bool          // more than http1.MaxBufferedBody bytes have arrived or are announced
	longestPause time.Duration // between two parts of the body
}

// newResponseLimit returns the limit of a response whose first bytes have arrived.
func newResponseLimit(declared int64, firstBytes int, announced int64, now time.Time) responseLimit {
	limit := responseLimit{declared: declared, startedAt: now, long: declared > http1.MaxBufferedBody}
	limit.record(firstBytes, announced, 0)
	return limit
}

// record records bytes of the body that arrived after a pause. announced is the number of further bytes that the endpoint has
// announced, at least.
func (l *responseLimit) record(bytes int, announced int64, pause time.Duration) {
	l.received += int64(bytes)
	if l.received > http1.MaxBufferedBody || announced > http1.MaxBufferedBody-l.received {
		l.long = true
	}
	if bytes > 0 {
		l.longestPause = max(l.longestPause, pause)
	}
}

// length returns what is known about the length of the response.
func (l *responseLimit) length() responseLength {
	switch {
	case l.long:
		return lengthLong
	case l.declared != http1.UnknownLength:
		return lengthShort
	}
	return lengthUnknown
}

// waitUntil returns until when to wait for the next bytes, for which the endpoint has been waited for since waitingSince. deadline
// is the end of the request's time.
func (l *responseLimit) waitUntil(deadline, waitingSince time.Time) time.Time {
	if l.length() == lengthLong {
		return waitingSince.Add(maxResponsePause)
	}
	end := waitingSince.Add(l.allowedPause(deadline, waitingSince))
	if end.Before(deadline) {
		return deadline
	}
	return end
}

// allowedPause returns how long a response that may be short may pause after the end of its request's time.
func (l *responseLimit) allowedPause(deadline, waitingSince time.Time) time.Duration {
	if l.length() == lengthUnknown && l.mayBecomeLong(waitingSince) {
		return max(lateResponseGrace, pauseVariation*l.longestPause)
	}
	if waitingSince.Before(deadline.Add(lateResponseGrace)) {
		return lateResponseGrace
	}
	return unreadBytesTimeout
}

// mayBecomeLong reports whether the response arrives fast enough to become a long one.
func (l *responseLimit) mayBecomeLong(now time.Time) bool {
	return float64(l.received) >= minLongResponseRate*now.Sub(l.startedAt).Seconds()
}

// overdueError returns the error of a response that has passed its limit.
func (l *responseLimit) overdueError() error {
	if l.length() == lengthLong {
		return errResponseStalled
	}
	return errResponseOverdue
}
