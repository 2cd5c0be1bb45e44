package exchange

import (
	"testing"
	"time"

	"cindersaddle/internal/http1"
)

// TestLengthHistoryExpectsLongResponses checks that a response counts as long only with enough others that were, with none as long
// as it that was short, and only as long as they are recent.
func TestLengthHistoryExpectsLongResponses(t *testing.T) {
	const long = http1.MaxBufferedBody + 1
	now := time.Now()
	history := &LengthHistory{}
	expect := func(when string, received int64, at time.Time, want bool) {
		t.Helper()
		if got := history.ExpectsLong(received, at); got != want {
			t.Errorf("%s: got %v for %d bytes, want %v", when, got, received, want)
		}
	}
	for range minLongResponses - 1 {
		history.Record(long, now)
	}
	expect("one too few", 50_000, now, false)
	history.Record(long, now)
	expect("enough", 1, now, true)
	expect("nothing received", 0, now, false)
	history.Record(100, now)
	expect("beside a short one", 1599, now, false)
	expect("beside a short one", 1600, now, true)
	expect("later", 1600, now.Add(lengthHistoryAge+time.Second), false)
	history.Record(http1.MaxBufferedBody/shortLengthVariation+1, now)
	expect("beside one that is not much shorter", http1.MaxBufferedBody, now, false)
	for range lengthHistorySize {
		history.Record(28, now)
	}
	expect("after many short ones", 50_000, now, false)
	expect("of another class", 50_000, now, (*LengthHistory)(nil).ExpectsLong(50_000, now))
}
