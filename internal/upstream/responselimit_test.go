package upstream

import (
	"math"
	"testing"
	"time"

	"cindersaddle/internal/http1"
)

// arrival is a part of a response body that arrives.
type arrival struct {
	at        time.Duration // after the first bytes
	bytes     int
	announced int64 // further bytes that the endpoint announces with it
}

// evenly returns arrivals of parts of equal size at equal intervals, up to the given time.
func evenly(interval time.Duration, bytes int, until time.Duration) []arrival {
	var arrivals []arrival
	for at := interval; at <= until; at += interval {
		arrivals = append(arrivals, arrival{at: at, bytes: bytes})
	}
	return arrivals
}

// endOf returns when a response ends that begins with first, continues with arrivals, and then stops. complete reports whether all
// arrivals were waited for.
func endOf(declared int64, first arrival, arrivals []arrival, deadline time.Duration) (end time.Duration, complete bool) {
	start := time.Now()
	limit := newResponseLimit(declared, func() time.Time { return start.Add(deadline) }, start)
	limit.record(first.bytes, first.announced, 0)
	waitingSince := time.Duration(0)
	for _, next := range arrivals {
		end = limit.waitUntil(start.Add(waitingSince)).Sub(start)
		if end < next.at {
			return end, false
		}
		limit.record(next.bytes, next.announced, next.at-waitingSince)
		waitingSince = next.at
	}
	return limit.waitUntil(start.Add(waitingSince)).Sub(start), true
}

// TestStoppedShortResponseEndsInTime guards against a client that waits past its time for the rest of a short response, or of one
// whose length is unknown: the endpoint stopped in the middle, and only a pause of 5 s ended the response.
func TestStoppedShortResponseEndsInTime(t *testing.T) {
	const deadline, latest = 2 * time.Second, 2500 * time.Millisecond
	for name, test := range map[string]struct {
		declared int64
		first    arrival
		arrivals []arrival
	}{
		"at once":                             {http1.UnknownLength, arrival{bytes: 6}, nil},
		"nothing but the size of a chunk":     {http1.UnknownLength, arrival{announced: 28}, nil},
		"after many bytes":                    {http1.UnknownLength, arrival{bytes: http1.MaxBufferedBody}, nil},
		"in a chunk that may be the last one": {http1.UnknownLength, arrival{bytes: 6, announced: http1.MaxBufferedBody - 6}, nil},
		"just before the deadline":            {http1.UnknownLength, arrival{bytes: 6}, []arrival{{at: 1990 * time.Millisecond, bytes: 6}}},
		"after pieces":                        {http1.UnknownLength, arrival{bytes: 1000}, evenly(10*time.Millisecond, 10, 1950*time.Millisecond)},
		"after long pauses":                   {http1.UnknownLength, arrival{bytes: 1}, evenly(900*time.Millisecond, 1, 1800*time.Millisecond)},
		"never, but slowly":                   {http1.UnknownLength, arrival{bytes: 1}, evenly(100*time.Millisecond, 1, time.Minute)},
		"declared, in the middle":             {http1.MaxBufferedBody, arrival{bytes: 40_000}, nil},
		"declared, never, but slowly":         {http1.MaxBufferedBody, arrival{bytes: 1}, evenly(100*time.Millisecond, 200, time.Minute)},
	} {
		if end, _ := endOf(test.declared, test.first, test.arrivals, deadline); end < deadline || end > latest {
			t.Errorf("stopped %s: got an end after %v, want one from %v to %v", name, end, deadline, latest)
		}
	}
}

// TestContinuingResponseIsNotCutOff guards against the opposite: a long response whose length is unknown is cut off at the end of
// its request's time although its endpoint still sends.
func TestContinuingResponseIsNotCutOff(t *testing.T) {
	const deadline = 2 * time.Second
	for name, arrivals := range map[string][]arrival{
		"many small parts":      evenly(10*time.Millisecond, 100, 7*time.Second),
		"a part in 0.3 s":       evenly(300*time.Millisecond, 4<<10, 5*time.Second),
		"a part in a second":    evenly(time.Second, 8<<10, 9*time.Second),
		"longer pauses at last": {{at: 800 * time.Millisecond, bytes: 9000}, {at: 2300 * time.Millisecond, bytes: 60_000}},
		"announced":             {{at: 10 * time.Millisecond, bytes: 1, announced: 100_000}, {at: 4900 * time.Millisecond, bytes: 100_000}},
	} {
		if end, complete := endOf(http1.UnknownLength, arrival{bytes: 10}, arrivals, deadline); !complete {
			t.Errorf("%s: got an end after %v, before the endpoint had sent everything", name, end)
		}
	}
}

// TestPauseInLongResponse guards against cutting off a long response while its endpoint hangs for as long as endpoints do, at any
// moment of it, and against waiting forever for an endpoint that never goes on.
func TestPauseInLongResponse(t *testing.T) {
	const deadline, longestHang, latest = 2 * time.Second, 25 * time.Second, 31 * time.Second
	for name, test := range map[string]struct {
		declared int64
		first    arrival
	}{
		"declared, at the first byte": {http1.MaxBufferedBody + 1, arrival{bytes: 1}},
		"declared, in the middle":     {32 << 20, arrival{bytes: 16 << 20}},
		"announced by a chunk":        {http1.UnknownLength, arrival{bytes: 1, announced: http1.MaxBufferedBody}},
		"by a chunk of any size":      {http1.UnknownLength, arrival{bytes: 1, announced: math.MaxInt64}},
		"more has arrived":            {http1.UnknownLength, arrival{bytes: http1.MaxBufferedBody + 1}},
	} {
		for _, pauseAt := range []time.Duration{0, time.Second, time.Minute} {
			before := evenly(time.Second, 1, pauseAt)
			after := append(before, arrival{at: pauseAt + longestHang, bytes: 1})
			if end, complete := endOf(test.declared, test.first, after, deadline); !complete {
				t.Errorf("%s, pause after %v: got an end after %v, want it to continue for %v", name, pauseAt, end, longestHang)
			}
			if end, _ := endOf(test.declared, test.first, before, deadline); end > pauseAt+latest {
				t.Errorf("%s, stopped after %v: got an end after %v, want one by %v", name, pauseAt, end, pauseAt+latest)
			}
		}
	}
}
