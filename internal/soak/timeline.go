package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// timeline lists what happened in a run, with the times.
type timeline []timelineEntry

type timelineEntry struct {
	at   time.Time
	text string
}

// add adds an entry unless its time is zero.
func (t *timeline) add(at time.Time, format string, args ...any) {
	if !at.IsZero() {
		*t = append(*t, timelineEntry{at, fmt.Sprintf(format, args...)})
	}
}

// Timeline returns a chronological report of a request: what the records and the logs contain about it, and the starts
// and ends of all processes. If traceID is empty, it contains only the processes.
func (r *Records) Timeline(traceID string) string {
	var history timeline
	r.addRequest(&history, traceID)
	r.addProcesses(&history)
	slices.SortFunc(history, func(a, b timelineEntry) int { return a.at.Compare(b.at) })
	var text strings.Builder
	for _, entry := range history {
		fmt.Fprintf(&text, "  %7.3f %s\n", entry.at.Sub(r.BeganAt).Seconds(), entry.text)
	}
	if traceID != "" && r.LogLines != nil {
		for _, line := range r.LogLines(traceID) {
			fmt.Fprintf(&text, "  log: %s\n", line)
		}
	}
	return text.String()
}

// addRequest adds what clients and endpoints recorded about a request.
func (r *Records) addRequest(history *timeline, traceID string) {
	for _, e := range r.Exchanges {
		if e.TraceID == traceID {
			history.add(e.BeganAt,
				"client of sidecar %s starts a request of class %s, deadline %v, reused connection: %v, "+
					"disconnects %v after its last byte (0s: it does not disconnect early)",
				e.Sidecar, e.Class, e.Deadline, e.ReusedConn, e.DisconnectAfter)
			history.add(e.SentAt, "client wrote the last byte")
			history.add(e.EndedAt, "client: %v, status %d, error: %v", e.Outcome, e.Status, e.Err)
		}
	}
	for _, attempt := range r.Attempts {
		if attempt.TraceID == traceID {
			history.add(attempt.LastByteAt, "endpoint %s received the request, stated remaining time %v",
				attempt.Endpoint, attempt.ExpiresIn)
			history.add(attempt.EndedAt, "endpoint %s: %v", attempt.Endpoint, attempt.Outcome)
		}
	}
}

// addProcesses adds the starts and ends of all processes.
func (r *Records) addProcesses(history *timeline) {
	for _, incarnation := range r.Incarnations {
		history.add(incarnation.StartedAt, "process of sidecar %s started", incarnation.Sidecar)
		history.add(incarnation.TermAt, "SIGTERM to sidecar %s", incarnation.Sidecar)
		history.add(incarnation.KilledAt, "SIGKILL to sidecar %s", incarnation.Sidecar)
		history.add(incarnation.EndedAt, "process of sidecar %s ended", incarnation.Sidecar)
	}
}
