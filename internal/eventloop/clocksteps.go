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
	// clockStepMemory is how long a difference that a step has ended is remembered: longer than a list is late, and than an
	// endpoint warms up.
	clockStepMemory balance.Milliseconds = 10 * 60 * 1000
	// maxClockDifferences bounds the differences remembered.
	maxClockDifferences = 16
	// microsecondsPerMillisecond converts readings of the wall clock.
	microsecondsPerMillisecond = 1000
	// startedLongAgo is the time of a start that is not known to be recent, as the balancer has it.
	startedLongAgo balance.Milliseconds = 0
	// earliestStart is the first time after startedLongAgo.
	earliestStart balance.Milliseconds = math.SmallestNonzeroFloat64
)

var (
	// ongoing is the end of the present difference.
	ongoing = balance.Milliseconds(math.Inf(1))
	// neverStarted is a time before all others.
	neverStarted = balance.Milliseconds(math.Inf(-1))
)

// clockSteps remembers by how much wall clock and loop clock differ and have differed. It guards against an endpoint that has
// just started but counts as warm, and is overloaded: discovery lists start times by the wall clock, which may be stepped by
// an hour while the loop's goes on. Each listed time is therefore compared with all recent differences.
//
// The differences are in the order of their ends, and only the last one is ongoing.
type clockSteps struct {
	differences []clockDifference // empty: the clocks agree, as at the start of the process
}

// clockDifference is a difference between wall clock and loop clock.
type clockDifference struct {
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
	l.clockSteps.observe(l.clock.milliseconds(moment), wallMilliseconds(moment))
}

// observe compares the clocks. now is the loop's time at a reading of the wall clock.
func (s *clockSteps) observe(now, wall balance.Milliseconds) {
	if len(s.differences) == 0 {
		s.differences = append(s.differences, clockDifference{endedAt: ongoing})
	}
	latest := &s.differences[len(s.differences)-1]
	if math.Abs(float64(wall-now-latest.wallAhead)) < float64(minClockStep) {
		return
	}
	latest.endedAt = now
	s.differences = append(s.differences, clockDifference{wallAhead: wall - now, endedAt: ongoing})
	s.forget(now)
}

// forget drops the differences that ended long ago, and the oldest ones beyond maxClockDifferences.
func (s *clockSteps) forget(now balance.Milliseconds) {
	s.differences = slices.DeleteFunc(s.differences, func(d clockDifference) bool { return d.endedAt < now-clockStepMemory })
	excess := max(0, len(s.differences)-maxClockDifferences)
	s.differences = slices.Delete(s.differences, 0, excess)
}

// wallAhead returns by how much the wall clock is ahead of the loop's.
func (s *clockSteps) wallAhead() balance.Milliseconds {
	if len(s.differences) == 0 {
		return 0
	}
	return s.differences[len(s.differences)-1].wallAhead
}

// startedAt converts the time of a start, which has just become known, from Unix milliseconds to the loop's time; 0 means long
// ago in both. It is not known whether the endpoint started before or after a recent step: the latest moment that is possible
// counts, as an endpoint that is taken for warm too soon may be overloaded.
func (s *clockSteps) startedAt(unix, now balance.Milliseconds) balance.Milliseconds {
	if unix <= startedLongAgo {
		return startedLongAgo
	}
	latest := neverStarted
	for _, difference := range s.differences {
		if difference.endedAt < now-clockStepMemory {
			continue
		}
		if started := unix - difference.wallAhead; started <= now {
			latest = max(latest, started)
		}
	}
	if latest == neverStarted { // in the future by each difference: the clocks were stepped in between
		return now
	}
	return max(latest, earliestStart)
}
