package standin

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// AttemptEnd is how an attempt ended as its server saw it.
type AttemptEnd int

// The ends of attempts.
const (
	AttemptOpen            AttemptEnd = iota // it has not ended
	AttemptServed                            // a complete response with status 200 was written
	AttemptFailed                            // an error response was written; the request was executed
	AttemptNeverExecuted                     // it was rejected with proof that it was not executed
	AttemptBroken                            // the server broke the response or the connection; the request was executed
	AttemptClosedBySidecar                   // the sidecar closed the connection first; the request may have been executed
)

// String returns the name of an end for reports.
func (e AttemptEnd) String() string {
	return [...]string{"open", "served", "failed", "never executed", "broken", "abandoned"}[e]
}

// Attempt is one complete request that a server received.
type Attempt struct {
	TraceID     string
	ExpiresIn   time.Duration // the remaining time that the request states; 0: it states none
	FirstByteAt time.Time
	LastByteAt  time.Time
	EndedAt     time.Time // zero: it has not ended
	End         AttemptEnd
}

// newAttempt returns the record of a request.
func newAttempt(request *receivedRequest) *Attempt {
	return &Attempt{
		TraceID:     request.Header.Get("X-Trace-Id"),
		ExpiresIn:   parseExpiry(request.Header),
		FirstByteAt: request.firstByteAt,
		LastByteAt:  request.lastByteAt,
	}
}

// expiryUnits are the units of the header field X-Expires-In by their suffixes.
var expiryUnits = map[string]time.Duration{"m": time.Millisecond, "u": time.Microsecond}

// parseExpiry returns the remaining time that a header states, 0 if it states none that can be parsed.
func parseExpiry(header http.Header) time.Duration {
	text := header.Get("X-Expires-In")
	for suffix, unit := range expiryUnits {
		number, found := strings.CutSuffix(text, suffix)
		if value, err := strconv.ParseFloat(number, 64); found && err == nil {
			return time.Duration(value * float64(unit))
		}
	}
	return 0
}
