package eventloop

import "cindersaddle/internal/upstream"

// attemptSet holds the attempts of one request. Each attempt that is added ends with exactly one attemptEnded event.
// The request must not be released until inFlight is 0.
type attemptSet struct {
	byNumber    []*upstream.Attempt // nil once the request is released
	inFlight    int                 // number of attempts that have not ended
	maxAttempts int                 // limit of the attempts that may be sent
}

// add adds the next attempt. It is in flight until markEnded is called for it.
func (s *attemptSet) add(attempt *upstream.Attempt) {
	s.byNumber = append(s.byNumber, attempt)
	s.inFlight++
}

// markEnded records that one of the attempts in flight has ended.
func (s *attemptSet) markEnded() { s.inFlight-- }

// exceedsLimit reports whether the last attempt added exceeds maxAttempts and must not be sent.
func (s *attemptSet) exceedsLimit() bool { return len(s.byNumber) > s.maxAttempts }

// get returns an attempt by its number, or nil if there is none.
func (s *attemptSet) get(number int) *upstream.Attempt {
	if number >= len(s.byNumber) {
		return nil
	}
	return s.byNumber[number]
}

// markRequestDone prevents attempts that have not sent anything yet from sending.
func (s *attemptSet) markRequestDone() {
	for _, attempt := range s.byNumber {
		attempt.RequestDone.Store(true)
	}
}

// release drops the references to the attempts.
func (s *attemptSet) release() { s.byNumber = nil }
