package eventloop

import "cindersaddle/internal/upstream"

// attemptSet holds the attempts of one request. Each attempt that is added ends exactly once, by an attemptEnded event; inFlight
// is the number of those that have not, so that the request may be released when it is 0.
type attemptSet struct {
	byNumber    []*upstream.Attempt // nil once the request is released
	inFlight    int
	maxAttempts int // most attempts that may be sent
}

// add adds the next attempt. It is in flight until markEnded is called for it.
func (s *attemptSet) add(attempt *upstream.Attempt) {
	s.byNumber = append(s.byNumber, attempt)
	s.inFlight++
}

// markEnded records the end of an attempt.
func (s *attemptSet) markEnded() { s.inFlight-- }

// overLimit reports whether the attempt that was added last may not be sent.
func (s *attemptSet) overLimit() bool { return len(s.byNumber) > s.maxAttempts }

// get returns an attempt by its number, or nil if there is none.
func (s *attemptSet) get(number int) *upstream.Attempt {
	if number >= len(s.byNumber) {
		return nil
	}
	return s.byNumber[number]
}

// markRequestDone keeps the attempts that have not sent anything yet from doing so.
func (s *attemptSet) markRequestDone() {
	for _, attempt := range s.byNumber {
		attempt.RequestDone.Store(true)
	}
}

// release frees the attempts.
func (s *attemptSet) release() { s.byNumber = nil }
