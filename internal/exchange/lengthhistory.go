package exchange

import (
	"sync"
	"time"

	"cindersaddle/internal/http1"
)

const (
	// lengthHistorySize is the number of lengths that a LengthHistory remembers.
	lengthHistorySize = 64
	// lengthHistoryAge is how long it remembers a length.
	lengthHistoryAge = 10 * time.Minute
	// minLongResponses is the least number of long responses from which it expects more of them.
	minLongResponses = 12
	// shortLengthVariation is the factor by which a short response may be longer than any that is remembered.
	shortLengthVariation = 16
)

// LengthHistory remembers how long the last responses of a class were whose endpoints did not declare their length. It is safe for
// concurrent use. A nil LengthHistory remembers nothing.
type LengthHistory struct {
	mu      sync.Mutex
	lengths [lengthHistorySize]knownLength // a ring: the oldest one is replaced
	next    int                            // index of the oldest one
}

// knownLength is the length of a response: exactly, or http1.MaxBufferedBody+1 for any long one.
type knownLength struct {
	bytes int64
	at    time.Time // when it became known; zero: unused
}

// Record records that a response was found to have this length, at least if it is more than http1.MaxBufferedBody.
func (h *LengthHistory) Record(bytes int64, now time.Time) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lengths[h.next] = knownLength{bytes: bytes, at: now}
	h.next = (h.next + 1) % lengthHistorySize
}

// ExpectsLong reports whether a response of which this many bytes have arrived will be longer than http1.MaxBufferedBody, judging
// by the others: enough were, and all shorter ones were much shorter than what has arrived.
func (h *LengthHistory) ExpectsLong(received int64, now time.Time) bool {
	if h == nil || received == 0 {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	long := 0
	for _, length := range h.lengths {
		switch {
		case now.Sub(length.at) > lengthHistoryAge:
		case length.bytes > http1.MaxBufferedBody:
			long++
		case length.bytes*shortLengthVariation > received:
			return false
		}
	}
	return long >= minLongResponses
}
