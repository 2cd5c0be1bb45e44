package metrics

import (
	"fmt"
	"io"
	"sync/atomic"
)

// UnknownLengthResult is what became of a response whose endpoint did not declare its length.
type UnknownLengthResult uint8

// The results of responses of unknown length.
const (
	CompleteWhileHeld    UnknownLengthResult = iota // complete before it was forwarded
	LongWhileHeld                                   // known to be long before it was forwarded
	ExpectedLong                                    // forwarded because others of its class were long
	ForwardedUndecided                              // forwarded because it could not be held any longer
	FailedUndecided                                 // not forwarded: neither complete nor known to be long in time
	unknownLengthResults                            // the number of results
)

// unknownLengthLabels holds the values of the label "result".
var unknownLengthLabels = [unknownLengthResults]string{
	CompleteWhileHeld:  "complete",
	LongWhileHeld:      "long",
	ExpectedLong:       "expected_long",
	ForwardedUndecided: "forwarded_undecided",
	FailedUndecided:    "failed_undecided",
}

// UnknownLengthCounters counts responses of unknown length by their results. It is safe for concurrent use.
type UnknownLengthCounters struct {
	byResult [unknownLengthResults]atomic.Int64
	// EndedUndecided counts those that were forwarded undecided and ended because their endpoints were silent.
	EndedUndecided atomic.Int64
}

// Count counts a response.
func (c *UnknownLengthCounters) Count(result UnknownLengthResult) { c.byResult[result].Add(1) }

// writeText renders the counters.
func (c *UnknownLengthCounters) writeText(w io.Writer) {
	const name = "responses_without_length_total"
	writeHeader(w, name, typeCounter, "Responses without a declared length, by what became of them.")
	for result, label := range unknownLengthLabels {
		fmt.Fprintf(w, "%s%s{result=%q} %d\n", namePrefix, name, label, c.byResult[result].Load())
	}
	const endedName = "responses_ended_undecided_total"
	writeHeader(w, endedName, typeCounter, "Responses without a declared length that were forwarded in part and then ended.")
	fmt.Fprintf(w, "%s%s %d\n", namePrefix, endedName, c.EndedUndecided.Load())
}
