package upstream

import (
	"time"

	"cindersaddle/internal/http1"
)

// maxResponseHold is how long the beginning of a response may be held: a response whose rest is held back for 2 s is lost.
const maxResponseHold = 1900 * time.Millisecond

// responseHold determines how long to hold a response of unknown length of which at most http1.MaxBufferedBody bytes have arrived.
//
// The last byte of a short response is timed, but only the first bytes of a long one, whose rest must not be cut off. Once the
// beginning has been forwarded, a pause of the endpoint at the end of the request's time leaves no right choice: a short response
// would have to be ended, a long one to be continued. A response that has not been forwarded can still be replaced by an error, which
// is a final response in both cases. So it is held until it is complete, or known to be long, or the time for a final response ends.
// Only if that is too far away is it forwarded. (If the other responses of its class say that it is long, it is not held.)
type responseHold struct{ arrivals bodyArrivals }

// next returns what to do with the response, of which received bytes have arrived by now, and until when to wait for more. The
// time of its request ends at deadline, and the time for its final response at finalDeadline.
func (h *responseHold) next(received int, now, deadline, finalDeadline time.Time) (step http1.BodyStep, until time.Time) {
	h.arrivals.record(received, now)
	if !now.Before(finalDeadline) {
		return http1.FailBody, finalDeadline
	}
	if received == 0 {
		return http1.KeepReading, finalDeadline
	}
	holdEnd := h.arrivals.first.Add(maxResponseHold)
	switch {
	case now.Before(holdEnd):
		return http1.KeepReading, earlier(holdEnd, finalDeadline)
	case now.Before(deadline):
		return http1.StreamBody, holdEnd
	}
	return http1.FailBody, holdEnd
}

// bodyArrivals is when the bytes of a body that is held have arrived.
type bodyArrivals struct {
	received     int
	first, last  time.Time // zero: none have arrived
	longestPause time.Duration
}

// pause returns how long ago the last bytes have arrived, or 0 if none have.
func (a *bodyArrivals) pause(now time.Time) time.Duration {
	if a.received == 0 {
		return 0
	}
	return now.Sub(a.last)
}

// record records that so many bytes have arrived by now.
func (a *bodyArrivals) record(received int, now time.Time) {
	switch {
	case received <= a.received:
		return
	case a.received == 0:
		a.first = now
	default:
		a.longestPause = max(a.longestPause, now.Sub(a.last))
	}
	a.received, a.last = received, now
}
