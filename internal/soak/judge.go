package soak

import (
	"fmt"
	"slices"
	"time"
)

// Rule is one of the rules that a run is judged by. The statement of a rule is at the method of judge that checks it.
type Rule string

// The rules.
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

// recordSlack is what a busy machine may take between an event and its record. All rules about times add it.
const recordSlack = 60 * time.Millisecond

// Violation is one case in which a rule was broken.
type Violation struct {
	Rule    Rule
	TraceID string // of the request; empty: the rule is not about one
	Text    string
}

// judge holds the records of a run by request.
type judge struct {
	*Records
	attempts  map[string][]Attempt // by trace ID, in their order
	exchanges map[string]Exchange  // by trace ID, the last one
	// notifications are in the order of NotifiedAt. Of the changes of one moment, the one delivered last holds.
	notifications []Notification
	violations    []Violation
}

// Judge returns the violations of the rules.
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

// report adds a violation.
func (j *judge) report(rule Rule, traceID, format string, args ...any) {
	j.violations = append(j.violations, Violation{Rule: rule, TraceID: traceID, Text: fmt.Sprintf(format, args...)})
}

// forEachKnownAttempt calls check with each attempt of a request that a client has sent.
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
