package eventloop

import (
	"math"
	"slices"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/fault"
)

const (
	// minClockStep is the least change between wall clock and loop clock that counts as a step.
	minClockStep balance.Milliseconds = 250
	// clockOffsetRetention is how long a difference that a step has ended is remembered: longer than a list is late, and than an
	// endpoint warms up.
	clockOffsetRetention balance.Milliseconds = 10 * 60 * 1000
	// maxClockOffsets bounds the differences remembered.
	maxClockOffsets = 16
	// microsecondsPerMillisecond converts readings of the wall clock.
	microsecondsPerMillisecond = 1000
	// startedLongAgo is the time of a start that is not known to be recent, as the balancer has it.
	startedLongAgo balance.Milliseconds = 0
	// earliestStart is the first time after startedLongAgo.
	earliestStart balance.Milliseconds = math.SmallestNonzeroFloat64
)

var (
	// ongoing is the end of the present difference.
	notEnded = balance.Milliseconds(math.Inf(1))
	// noStartTime is a time before all others.
	noStartTime = balance.Milliseconds(math.Inf(-1))
)

// clockOffsets remembers by how much wall clock and loop clock differ and have differed. It guards against an endpoint that has
// just started but counts as warm, and is overloaded: discovery lists start times by the wall clock, which may be stepped by
// an hour while the loop's goes on. Each listed time is therefore compared with all recent differences.
//
// The differences are in the order of their ends, and only the last one is ongoing.
type clockOffsets struct {
	offsets []clockOffset // empty: the clocks agree, as at the start of the process
}

// clockOffset is a difference between wall clock and loop clock.
type clockOffset struct {
	wallAhead balance.Milliseconds // by which the wall clock is ahead of the loop's
	endedAt   balance.Milliseconds // when the next step was noticed, in the loop's time, or ongoing
}

// wallMilliseconds returns a reading of the wall clock in Unix milliseconds.
func wallMilliseconds(moment time.Time) balance.Milliseconds {
	return balance.Milliseconds(moment.Add(fault.ClockStep()).UnixMicro()) / microsecondsPerMillisecond
}

// observeClocks notices steps of the wall clock.
func (l *Loop) observeClocks() {
	moment := time.Now()
	l.clockOffsets.observe(l.clock.toMilliseconds(moment), wallMilliseconds(moment))
}

// observe compares the clocks. now is the loop's time at a reading of the wall clock.
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

// forget drops the differences that ended long ago, and the oldest ones beyond maxClockOffsets.
func (s *clockOffsets) dropOld(now balance.Milliseconds) {
	s.offsets = slices.DeleteFunc(s.offsets, func(d clockOffset) bool { return d.endedAt < now-clockOffsetRetention })
	excess := max(0, len(s.offsets)-maxClockOffsets)
	s.offsets = slices.Delete(s.offsets, 0, excess)
}

// wallAhead returns by how much the wall clock is ahead of the loop's.
func (s *clockOffsets) wallAhead() balance.Milliseconds {
	if len(s.offsets) == 0 {
		return 0
	}
	return s.offsets[len(s.offsets)-1].wallAhead
}

// convertStartTime converts the time of a start, which has just become known, from Unix milliseconds to the loop's time; 0 means long
// ago in both. It is not known whether the endpoint started before or after a recent step: the latest moment that is possible
// counts, as an endpoint that is taken for warm too soon may be overloaded.
func (s *clockOffsets) convertStartTime(unix, now balance.Milliseconds) balance.Milliseconds {
	if unix <= startedLongAgo {
		return startedLongAgo
	}
	latest := noStartTime
	for _, difference := range s.offsets {
		if difference.endedAt < now-clockOffsetRetention {
			continue
		}
		if started := unix - difference.wallAhead; started <= now {
			latest = max(latest, started)
		}
	}
	if latest == noStartTime { // in the future by each difference: the clocks were stepped in between
		return now
	}
	return max(latest, earliestStart)
}
