package eventloop

import (
	"math"
	"slices"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/fault"
)

const (
	// minClockStep is the least change, in milliseconds, between wall clock and loop clock that counts as a step.
	minClockStep = 250
	// clockStepMemory is how long, in milliseconds, a difference that a step has ended is remembered: longer than a list is
	// late, and than a server warms up.
	clockStepMemory = 10 * 60e3
	// maxClockDifferences bounds the differences remembered.
	maxClockDifferences = 16
)

// lasting is the end of a difference that goes on.
var lasting = balance.Milliseconds(math.Inf(1))

// startTimes converts the times at which servers have started, which discovery lists by the wall clock, to the loop's clock.
// The wall clock may be stepped by an hour while the loop's goes on: a server that has just started would then count as warm.
type startTimes struct {
	differences []clockDifference // the present one last; empty: the clocks agree, as at the start of the process
}

// clockDifference is a difference between wall clock and loop clock.
type clockDifference struct {
	wallAhead balance.Milliseconds // by which the wall clock is ahead of the loop's
	endedAt   balance.Milliseconds // when the next step was noticed, in the loop's time; +Inf: it lasts
}

// wallMilliseconds returns a reading of the wall clock in Unix milliseconds.
func wallMilliseconds(moment time.Time) balance.Milliseconds {
	return balance.Milliseconds(moment.Add(fault.ClockStep()).UnixMicro()) / 1000
}

// observe compares the clocks. now is the loop's time at a reading of the wall clock.
func (s *startTimes) observe(now, wall balance.Milliseconds) {
	if len(s.differences) == 0 {
		s.differences = append(s.differences, clockDifference{endedAt: lasting})
	}
	latest := &s.differences[len(s.differences)-1]
	if math.Abs(float64(wall-now-latest.wallAhead)) < minClockStep {
		return
	}
	latest.endedAt = now
	s.differences = append(s.differences, clockDifference{wallAhead: wall - now, endedAt: lasting})
	s.differences = slices.DeleteFunc(s.differences, func(d clockDifference) bool { return d.endedAt < now-clockStepMemory })
	excess := max(0, len(s.differences)-maxClockDifferences)
	s.differences = slices.Delete(s.differences, 0, excess)
}

// wallAhead returns by how many milliseconds the wall clock is ahead of the loop's.
func (s *startTimes) wallAhead() balance.Milliseconds {
	if len(s.differences) == 0 {
		return 0
	}
	return s.differences[len(s.differences)-1].wallAhead
}

// loopTime converts the time of a start, which has just become known, to the loop's clock; 0 means long ago. It is not known
// whether the server started before or after a recent step: the latest moment that is possible counts, as a server that is
// taken for warm too soon may be overloaded.
func (s *startTimes) loopTime(unix, now balance.Milliseconds) balance.Milliseconds {
	if unix <= 0 {
		return 0
	}
	latest := balance.Milliseconds(math.Inf(-1))
	for _, difference := range s.differences {
		if difference.endedAt < now-clockStepMemory {
			continue
		}
		if started := unix - difference.wallAhead; started <= now {
			latest = max(latest, started)
		}
	}
	if math.IsInf(float64(latest), -1) { // in the future by each: the clocks were stepped in between
		return now
	}
	return max(latest, math.SmallestNonzeroFloat64)
}
