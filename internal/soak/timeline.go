package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// timeline is the list of what happened at which moments.
type timeline []timelineEntry

type timelineEntry struct {
	at   time.Time
	text string
}

// add adds an entry, or none if its time is zero.
func (t *timeline) add(at time.Time, format string, args ...any) {
	if !at.IsZero() {
		*t = append(*t, timelineEntry{at, fmt.Sprintf(format, args...)})
	}
}

// Timeline returns the history of a run for a report: what the records and the logs hold about a request, or about none if
// traceID is empty, and all starts and ends of processes.
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

// addRequest adds what clients and endpoints have seen of a request.
func (r *Records) addRequest(history *timeline, traceID string) {
	for _, e := range r.Exchanges {
		if e.TraceID == traceID {
			history.add(e.BeganAt, "client of %s writes class %s, deadline %v, reused connection: %v, leaves after %v",
				e.Sidecar, e.Class, e.Deadline, e.ReusedConn, e.LeaveAfter)
			history.add(e.SentAt, "client has written the last byte")
			history.add(e.EndedAt, "client: %v, status %d, %v", e.End, e.Status, e.Err)
		}
	}
	for _, attempt := range r.Attempts {
		if attempt.TraceID == traceID {
			history.add(attempt.LastByteAt, "endpoint %s has the request, %v remain", attempt.Endpoint, attempt.ExpiresIn)
			history.add(attempt.EndedAt, "endpoint %s: %v", attempt.Endpoint, attempt.End)
		}
	}
}

// addProcesses adds the starts and ends of all processes.
func (r *Records) addProcesses(history *timeline) {
	for _, incarnation := range r.Incarnations {
		history.add(incarnation.StartedAt, "sidecar %s starts", incarnation.Sidecar)
		history.add(incarnation.TermAt, "SIGTERM to %s", incarnation.Sidecar)
		history.add(incarnation.KilledAt, "SIGKILL to %s", incarnation.Sidecar)
		history.add(incarnation.EndedAt, "sidecar %s has ended", incarnation.Sidecar)
	}
}
