package soak

import (
	"fmt"
	"slices"
	"time"
)

// Rule names a rule that each run must satisfy. The method of judge that checks a rule documents it.
type Rule string

// The rules that Judge checks.
const (
	RuleResponse           Rule = "response"
	RuleDuplicate          Rule = "duplicate"
	RuleDrain              Rule = "drain"
	RuleExpiry             Rule = "expiry"
	RuleClientDisconnected Rule = "client left"
	RuleUnknownRequest     Rule = "unknown request"
	RuleSlowStart          Rule = "slow start"
	RuleProcess            Rule = "process"
	RuleIncompleteRequest  Rule = "incomplete request"
)

// recordSlack is the tolerance for the time between an event and its record on a busy machine. Rules add it to their
// time limits, except RuleSlowStart, which counts requests, and closeRaceWindow of RuleResponse.
const recordSlack = 60 * time.Millisecond

// Violation is one case in which a rule was broken.
type Violation struct {
	Rule    Rule
	TraceID string // of the request; empty if the violation does not concern a single request
	Text    string // describes the violation for a report
}

// judge indexes the records of a run by request and collects the violations.
type judge struct {
	*Records
	attempts  map[string][]Attempt // by trace ID, sorted by LastByteAt
	exchanges map[string]Exchange  // the last exchange of each trace ID
	// notifications are sorted by NotifiedAt. Changes with the same time keep the order of their delivery, because
	// the one delivered last is the valid one.
	notifications []Notification
	violations    []Violation
}

// Judge checks the records of a run against all rules and returns the violations.
func Judge(records *Records) []Violation {
	j := newJudge(records)
	j.checkResponses()
	j.checkUnknownRequests()
	j.checkExpiry()
	j.checkClientsDisconnected()
	j.checkDuplicates()
	j.checkDrains()
	j.checkSlowStarts()
	j.checkProcesses()
	j.checkIncompleteRequests()
	return j.violations
}

func newJudge(records *Records) *judge {
	j := &judge{Records: records, attempts: map[string][]Attempt{}, exchanges: map[string]Exchange{}}
	for _, attempt := range records.Attempts {
		j.attempts[attempt.TraceID] = append(j.attempts[attempt.TraceID], attempt)
	}
	for _, attempts := range j.attempts {
		slices.SortFunc(attempts, func(a, b Attempt) int { return a.LastByteAt.Compare(b.LastByteAt) })
	}
	for _, exchange := range records.Exchanges {
		j.exchanges[exchange.TraceID] = exchange
	}
	j.notifications = slices.Clone(records.Notifications)
	slices.SortStableFunc(j.notifications, func(a, b Notification) int { return a.NotifiedAt.Compare(b.NotifiedAt) })
	return j
}

// report records a violation.
func (j *judge) report(rule Rule, traceID, format string, args ...any) {
	j.violations = append(j.violations, Violation{Rule: rule, TraceID: traceID, Text: fmt.Sprintf(format, args...)})
}

// forEachKnownAttempt calls check for each attempt whose request was sent by a client.
func (j *judge) forEachKnownAttempt(check func(*Exchange, *Attempt)) {
	for traceID, attempts := range j.attempts {
		exchange, sent := j.exchanges[traceID]
		if !sent {
			continue
		}
		for i := range attempts {
			check(&exchange, &attempts[i])
		}
	}
}
