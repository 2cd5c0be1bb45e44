package standin

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// AttemptOutcome is the outcome of an attempt as the server saw it.
type AttemptOutcome int

// The outcomes of attempts.
const (
	AttemptOpen            AttemptOutcome = iota // the attempt has not ended
	AttemptServed                                // a complete response with status 200 was written
	AttemptFailed                                // an error response was written; the request was executed
	AttemptNeverExecuted                         // it was rejected with X-Never-Ran, which proves that it was not executed
	AttemptBroken                                // invalid or partial response, or reset; the request was executed
	AttemptClosedBySidecar                       // closed by the sidecar first; the request may have been executed
)

// String returns the name of an outcome for reports.
func (e AttemptOutcome) String() string {
	return [...]string{"open", "served", "failed", "never executed", "broken", "abandoned"}[e]
}

// Attempt is one complete request that a server received.
type Attempt struct {
	TraceID     string
	ExpiresIn   time.Duration // remaining time from X-Expires-In; 0 if it is absent or invalid
	FirstByteAt time.Time
	LastByteAt  time.Time
	EndedAt     time.Time // zero if it has not ended
	Outcome     AttemptOutcome
}

// newAttempt returns the attempt that begins with a received request.
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

// parseExpiry returns the remaining time from the header field X-Expires-In, or 0 if it is absent or invalid.
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
