package upstream

import (
	"errors"
	"fmt"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/http1"
)

const (
	// maxResponsePause is how long an endpoint may pause within a long response: endpoints hang for up to 25 s and then go on.
	maxResponsePause = 30 * time.Second
	// minAllowedPause is how long an endpoint that still sends may pause, at least.
	minAllowedPause = 300 * time.Millisecond
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

// responseLimit determines how long to wait for the next bytes of a streamed response.
//
// A response is short if it has at most http1.MaxBufferedBody bytes, otherwise long. The time of a request ends with the last byte
// of a short response, but with the first bytes of a long one, which only a pause of maxResponsePause ends. A response that may be
// either must be decided balance.LateResponseGrace after the time of its request, because an end that comes later saves no short
// response. It counts as long if its endpoint still sends then, as it has before: not slower than minLongResponseRate, and
// without a pause much longer than the ones before.
type responseLimit struct {
	declared     int64            // length of the body, or http1.UnknownLength
	deadline     func() time.Time // returns the end of the request's time, which may move while the request is sent
	startedAt    time.Time        // when the first bytes had arrived
	received     int64            // bytes of the body that have arrived
	long         bool             // the response is known to be long: more has arrived, is announced or is declared
	longestPause time.Duration    // between two parts of the body
}

// newResponseLimit returns the limit of a response of which nothing has been recorded. Its first bytes had arrived at startedAt.
func newResponseLimit(declared int64, deadline func() time.Time, startedAt time.Time) responseLimit {
	return responseLimit{
		declared: declared, deadline: deadline, startedAt: startedAt, long: declared > http1.MaxBufferedBody,
	}
}

// record records bytes of the body that arrived after a pause. announced is the number of further bytes that the endpoint has
// announced, at least.
func (l *responseLimit) record(bytes int, announced int64, pause time.Duration) {
	l.received += int64(bytes)
	l.long = l.long || http1.IsLong(l.received, announced)
	if bytes > 0 {
		l.longestPause = max(l.longestPause, pause)
	}
}

// waitUntil returns until when to wait for the next bytes, for which the endpoint has been waited for since waitingSince.
func (l *responseLimit) waitUntil(waitingSince time.Time) time.Time {
	if l.long {
		return waitingSince.Add(maxResponsePause)
	}
	deadline := l.deadline()
	decideAt := deadline.Add(balance.LateResponseGrace.Duration())
	if l.mayBecomeLong(waitingSince) {
		pauseEnd := waitingSince.Add(max(minAllowedPause, pauseVariation*l.longestPause))
		if pauseEnd.Before(decideAt) {
			return later(pauseEnd, deadline)
		}
		return waitingSince.Add(maxResponsePause)
	}
	if waitingSince.Before(decideAt) {
		return later(earlier(waitingSince.Add(minAllowedPause), decideAt), deadline)
	}
	return waitingSince.Add(unreadBytesTimeout)
}

// mayBecomeLong reports whether the response is of unknown length and arrives fast enough to become a long one.
func (l *responseLimit) mayBecomeLong(now time.Time) bool {
	return l.declared == http1.UnknownLength &&
		float64(l.received) >= minLongResponseRate*now.Sub(l.startedAt).Seconds()
}

// overdueError returns the error of a response that has passed its limit.
func (l *responseLimit) overdueError(paused time.Duration) error {
	if l.long {
		return errResponseStalled
	}
	return overdueError(l.received, paused)
}

// overdueError returns errResponseOverdue with what is known about the response.
func overdueError(received int64, paused time.Duration) error {
	return fmt.Errorf("%w: %d bytes have arrived, the endpoint has paused for %v", errResponseOverdue, received, paused)
}
