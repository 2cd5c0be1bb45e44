package eventloop

import (
	"math"
	"slices"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/fault"
)

const (
	// minClockStep is the smallest change of the offset between wall clock and loop clock that counts as a step.
	minClockStep balance.Milliseconds = 250
	// clockOffsetRetention is how long an offset is kept after the step that ended it: longer than an endpoint list
	// can be late, and longer than the slow start of an endpoint.
	clockOffsetRetention balance.Milliseconds = 10 * 60 * 1000
	// maxClockOffsets limits the number of offsets kept.
	maxClockOffsets = 16
	// microsecondsPerMillisecond converts readings of the wall clock.
	microsecondsPerMillisecond = 1000
	// startedLongAgo is the balancer's start time of an endpoint that is not known to have started recently.
	startedLongAgo balance.Milliseconds = 0
	// earliestStart is the smallest start time that does not mean startedLongAgo.
	earliestStart balance.Milliseconds = math.SmallestNonzeroFloat64
)

var (
	// notEnded is endedAt of the current offset.
	notEnded = balance.Milliseconds(math.Inf(1))
	// noStartTime is less than any start time.
	noStartTime = balance.Milliseconds(math.Inf(-1))
)

// clockOffsets records the current and the recent offsets between the wall clock and the loop's clock. Discovery lists
// start times by the wall clock, which may be stepped, for example by an hour, while the loop's clock is not. Without
// the offsets, an endpoint that has just started could seem to have started long ago: it would skip its slow start and
// be overloaded.
//
// The offsets are ordered by endedAt; only the last one has not ended.
type clockOffsets struct {
	offsets []clockOffset // empty until the first observation: the clocks agree at the start of the process
}

// clockOffset is an offset between the wall clock and the loop's clock.
type clockOffset struct {
	wallAhead balance.Milliseconds // wall clock minus loop clock
	endedAt   balance.Milliseconds // when the next step was noticed, on the loop's clock, or notEnded
}

// wallMilliseconds returns a reading of the wall clock in Unix milliseconds.
func wallMilliseconds(t time.Time) balance.Milliseconds {
	return balance.Milliseconds(t.Add(fault.ClockStep()).UnixMicro()) / microsecondsPerMillisecond
}

// observeClocks detects steps of the wall clock.
func (l *Loop) observeClocks() {
	t := time.Now()
	l.clockOffsets.observe(l.clock.toMilliseconds(t), wallMilliseconds(t))
}

// observe compares the clocks and adds an offset after a step. now and wall are readings of the loop's clock and of the
// wall clock at the same time.
func (s *clockOffsets) observe(now, wall balance.Milliseconds) {
	if len(s.offsets) == 0 {
		s.offsets = append(s.offsets, clockOffset{endedAt: notEnded})
	}
	latest := &s.offsets[len(s.offsets)-1]
	if math.Abs(float64(wall-now-latest.wallAhead)) < float64(minClockStep) {
		return
	}
	latest.endedAt = now
	s.offsets = append(s.offsets, clockOffset{wallAhead: wall - now, endedAt: notEnded})
	s.dropOld(now)
}

// dropOld drops the offsets that ended more than clockOffsetRetention ago, and the oldest ones in excess of
// maxClockOffsets.
func (s *clockOffsets) dropOld(now balance.Milliseconds) {
	s.offsets = slices.DeleteFunc(s.offsets, func(o clockOffset) bool { return o.endedAt < now-clockOffsetRetention })
	excess := max(0, len(s.offsets)-maxClockOffsets)
	s.offsets = slices.Delete(s.offsets, 0, excess)
}

// wallAhead returns the current offset: wall clock minus loop clock.
func (s *clockOffsets) wallAhead() balance.Milliseconds {
	if len(s.offsets) == 0 {
		return 0
	}
	return s.offsets[len(s.offsets)-1].wallAhead
}

// convertStartTime converts the start time of an endpoint, as just listed, from Unix milliseconds to the loop's clock;
// startedLongAgo stays as it is. The endpoint may have started before or after a recent step, so the offset that
// applies is unknown: the latest possible time is returned, because an endpoint whose slow start ends too early may be
// overloaded.
func (s *clockOffsets) convertStartTime(unix, now balance.Milliseconds) balance.Milliseconds {
	if unix <= startedLongAgo {
		return startedLongAgo
	}
	latest := noStartTime
	for _, offset := range s.offsets {
		if offset.endedAt < now-clockOffsetRetention {
			continue
		}
		if started := unix - offset.wallAhead; started <= now {
			latest = max(latest, started)
		}
	}
	if latest == noStartTime { // in the future by every offset: the clock was stepped in between
		return now
	}
	return max(latest, earliestStart)
}
