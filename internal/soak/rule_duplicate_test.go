package soak

import (
	"testing"
	"time"

	"cindersaddle/internal/standin"
)

// TestOverlapOfAttempts checks the overlap of two attempts, in both orders of the arguments.
func TestOverlapOfAttempts(t *testing.T) {
	began := time.Now()
	attempt := func(from, to time.Duration) *Attempt {
		return &Attempt{Attempt: standin.Attempt{FirstByteAt: began.Add(from), EndedAt: began.Add(to)}}
	}
	stillOpen := &Attempt{Attempt: standin.Attempt{FirstByteAt: began}}
	for name, test := range map[string]struct {
		a, b *Attempt
		want time.Duration
	}{
		"one after the other": {attempt(0, time.Second), attempt(2*time.Second, 3*time.Second), -time.Second},
		"within": {
			attempt(0, time.Second), attempt(300*time.Millisecond, 500*time.Millisecond), 200 * time.Millisecond,
		},
		"recorded later, shorter": {
			attempt(0, 80*time.Millisecond), attempt(time.Microsecond, 2*time.Microsecond), time.Microsecond,
		},
		"one without end": {stillOpen, attempt(time.Second, 3*time.Second), 2 * time.Second},
	} {
		for _, got := range []time.Duration{overlap(test.a, test.b), overlap(test.b, test.a)} {
			if got != test.want {
				t.Errorf("%s: got overlap %v, want %v", name, got, test.want)
			}
		}
	}
}
