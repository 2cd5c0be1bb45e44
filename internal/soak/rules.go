package soak

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"cindersaddle/internal/standin"
)

// Rule is one of the rules that a run is judged by.
type Rule string

// The rules.
const (
	RuleAnswered  Rule = "answered"    // each request gets one whole response of its own in time
	RuleDuplicate Rule = "duplicate"   // two attempts of a request at one time, or a repeat that its class forbids
	RuleDrain     Rule = "drain"       // nothing new to a server that drains or is gone
	RuleExpiry    Rule = "expiry"      // the time told to the server is at most what the client has left
	RuleLeft      Rule = "client left" // no attempt begins after its client has left
	RuleUnknown   Rule = "unknown"     // no request that no client sent
	RuleSlowStart Rule = "slow start"  // a server that warms up gets no more than the settings allow
	RuleProcess   Rule = "process"     // no crash; ready in time
	RuleBadClient Rule = "bad client"  // a client that completes no request gets an error or a close
)

// Slack that the rules give, and what a busy machine may take between an event and its record.
const (
	recordSlack    = 60 * time.Millisecond
	lateResponse   = 500 * time.Millisecond
	expirySlack    = 150 * time.Millisecond
	leftSlack      = 100 * time.Millisecond
	drainSlack     = 50 * time.Millisecond
	crossing       = 25 * time.Millisecond // a request that is written while its connection is being closed
	badClientLimit = 3 * time.Second
)

// Violation is a rule that was broken.
type Violation struct {
	Rule    Rule
	TraceID string // of the request, if it is one
	Text    string
}

// judge holds the records of a run in the order in which the rules need them.
type judge struct {
	*Records
	attempts   map[string][]standin.Attempt // by request, in their order
	exchanges  map[string]standin.Exchange  // by request, the last one
	violations []Violation
}

// Judge returns the violations of the rules.
func Judge(records *Records) []Violation {
	j := &judge{Records: records, attempts: map[string][]standin.Attempt{}, exchanges: map[string]standin.Exchange{}}
	for _, attempt := range records.Attempts {
		j.attempts[attempt.TraceID] = append(j.attempts[attempt.TraceID], attempt)
	}
	for _, attempts := range j.attempts {
		slices.SortFunc(attempts, func(a, b standin.Attempt) int { return a.LastByteAt.Compare(b.LastByteAt) })
	}
	for _, exchange := range records.Exchanges {
		j.exchanges[exchange.TraceID] = exchange
	}
	for i := range records.Exchanges {
		j.judgeExchange(&records.Exchanges[i])
	}
	for id, attempts := range j.attempts {
		j.judgeAttempts(id, attempts)
	}
	j.judgeDrains()
	j.judgeSlowStarts()
	j.judgeProcesses()
	j.judgeBadClients()
	return j.violations
}

func (j *judge) report(rule Rule, traceID, format string, args ...any) {
	j.violations = append(j.violations, Violation{Rule: rule, TraceID: traceID, Text: fmt.Sprintf(format, args...)})
}

// judgeExchange checks that a request got its response.
func (j *judge) judgeExchange(e *standin.Exchange) {
	switch e.End {
	case standin.ExchangeServed, standin.ExchangeRejected, standin.ExchangeFailed:
		if e.WrongBody {
			j.report(RuleAnswered, e.TraceID, "the response is not the one of this request")
		}
		if late := e.EndedAt.Sub(e.SentAt) - e.Deadline; late > lateResponse+recordSlack && e.Status != 200 {
			j.report(RuleAnswered, e.TraceID, "response %v after the client gave up", late)
		}
	case standin.ExchangeSilent:
		if !j.killed(e) {
			j.report(RuleAnswered, e.TraceID, "no response")
		}
	case standin.ExchangeCut:
		if !j.killed(e) && !j.brokenByServer(e.TraceID) {
			j.report(RuleAnswered, e.TraceID, "the response broke off, though no server or network broke it: %v", e.Err)
		}
	case standin.ExchangeClosed:
		if !j.killed(e) && j.wasRead(e) {
			j.report(RuleAnswered, e.TraceID, "the connection was closed without a response: %v", e.Err)
		}
	}
}

// killed reports whether the process that had a request was killed outright. One that is killed some time after a SIGTERM
// must have answered all that it had taken.
func (j *judge) killed(e *standin.Exchange) bool {
	return j.killedBetween(e.Sidecar, e.BeganAt, e.EndedAt)
}

// killedBetween reports whether a process of a sidecar was killed outright, and so was dying at some moment between two.
func (j *judge) killedBetween(sidecar string, from, to time.Time) bool {
	return slices.ContainsFunc(j.Lives, func(life Life) bool {
		outright := !life.KilledAt.IsZero() && life.TermAt.IsZero()
		endedBefore := !life.EndedAt.IsZero() && life.EndedAt.Before(from)
		return life.Sidecar == sidecar && outright && !endedBefore && !to.Before(life.KilledAt)
	})
}

// brokenByServer reports whether an attempt of a request was broken by its server or the network, or as the sidecar sees it, by
// injected resets.
func (j *judge) brokenByServer(traceID string) bool {
	if strings.Contains(j.Plan.Faults, "receive=ECONNRESET") {
		return true
	}
	return slices.ContainsFunc(j.attempts[traceID], func(a standin.Attempt) bool { return a.End == standin.EndBroken || j.disturbed(&a) })
}

// disturbed reports whether the network or the process of an attempt's server was disturbed while it was open.
func (j *judge) disturbed(a *standin.Attempt) bool {
	for _, event := range j.Plan.Events {
		var number int
		if _, err := fmt.Sscanf(a.Server, "s-%d", &number); err != nil || number != event.Target {
			continue
		}
		began := j.BeganAt.Add(event.At)
		ended := began.Add(event.Length).Add(recordSlack)
		switch event.Kind {
		case EventCut, EventReset, EventRestart, EventDrain:
			if a.LastByteAt.Before(ended.Add(time.Second)) && (a.EndedAt.IsZero() || a.EndedAt.After(began.Add(-time.Second))) {
				return true
			}
		}
	}
	return false
}

// wasRead reports whether a sidecar had read a request whose connection it closed: a server got it before that, as the client
// may have sent it again since, or the connection ended, without a reset, well after the request was written.
func (j *judge) wasRead(e *standin.Exchange) bool {
	for _, attempt := range j.attempts[e.TraceID] {
		if attempt.FirstByteAt.Before(e.EndedAt) {
			return true
		}
	}
	return errors.Is(e.Err, io.EOF) && e.EndedAt.Sub(e.SentAt) > crossing
}

// judgeAttempts checks the attempts of one request.
func (j *judge) judgeAttempts(id string, attempts []standin.Attempt) {
	exchange, known := j.exchanges[id]
	if !known {
		j.report(RuleUnknown, id, "no client sent this request")
		return
	}
	for i := range attempts {
		attempt := &attempts[i]
		left := exchange.SentAt.Add(exchange.Deadline).Sub(attempt.LastByteAt)
		if attempt.ExpiresIn > max(0, left)+expirySlack+recordSlack && !exchange.SentAt.IsZero() {
			j.report(RuleExpiry, id, "server %s was told %v with %v left", attempt.Server, attempt.ExpiresIn, left)
		}
		if exchange.End == standin.ExchangeLeft && attempt.FirstByteAt.After(exchange.EndedAt.Add(leftSlack+recordSlack)) {
			j.report(RuleLeft, id, "server %s got it %v after its client had left", attempt.Server, attempt.FirstByteAt.Sub(exchange.EndedAt))
		}
		if i > 0 {
			j.judgeRepeat(&exchange, &attempts[i-1], attempt)
		}
	}
}

// judgeRepeat checks an attempt that follows another one.
func (j *judge) judgeRepeat(e *standin.Exchange, earlier, attempt *standin.Attempt) {
	if j.killedBetween(e.Sidecar, earlier.FirstByteAt, attempt.FirstByteAt) {
		return // the client has sent the request again, to the next process
	}
	if overlap(earlier, attempt) > recordSlack && !j.disturbed(earlier) {
		j.report(RuleDuplicate, e.TraceID, "server %s got it while server %s had it", attempt.Server, earlier.Server)
	}
	if earlier.End == standin.EndNeverRan {
		return
	}
	switch e.Effect {
	case standin.Unsafe:
		j.report(RuleDuplicate, e.TraceID, "not to be repeated, and may have run at server %s before server %s got it", earlier.Server, attempt.Server)
	case standin.Keyed:
		window := time.Duration(j.Plan.Settings.Classes[standin.Keyed].Window * float64(time.Millisecond))
		if since := attempt.LastByteAt.Sub(earlier.LastByteAt); since > window+recordSlack {
			j.report(RuleDuplicate, e.TraceID, "repeated %v after it had come to server %s, the window is %v", since, earlier.Server, window)
		}
		if j.Cells[earlier.Server] != j.Cells[attempt.Server] {
			j.report(RuleDuplicate, e.TraceID, "repeated at server %s, in another cell than server %s", attempt.Server, earlier.Server)
		}
	}
}

// overlap returns how long two attempts were open at the same time, as far as their servers saw.
func overlap(a, b *standin.Attempt) time.Duration {
	began, ended := a.FirstByteAt, a.EndedAt
	if b.FirstByteAt.After(began) {
		began = b.FirstByteAt
	}
	if ended.IsZero() || !b.EndedAt.IsZero() && b.EndedAt.Before(ended) {
		ended = b.EndedAt
	}
	if ended.IsZero() { // both are open at the end of the run
		return math.MaxInt64
	}
	return ended.Sub(began)
}

// judgeDrains checks that servers get nothing new once their sidecars know that they drain or are gone.
func (j *judge) judgeDrains() {
	slices.SortStableFunc(j.Told, func(a, b Told) int { return a.At.Compare(b.At) }) // of one moment, the later one counts
	grace := time.Duration(j.Plan.Settings.Rules.DrainGrace*float64(time.Millisecond)) + drainSlack + recordSlack
	for _, attempt := range j.Attempts {
		exchange := j.exchanges[attempt.TraceID]
		for i, told := range j.Told {
			if told.Sidecar != exchange.Sidecar || told.Server != attempt.Server || told.Phase == "ready" {
				continue
			}
			since := attempt.FirstByteAt.Sub(j.knownSince(told))
			if since > grace && !j.readyAgain(told, i, attempt.FirstByteAt) {
				j.report(RuleDrain, attempt.TraceID, "server %s got it %v after it was known to be %s", attempt.Server, since, told.Phase)
			}
		}
	}
}

// knownSince returns when a change counts as known: not before the start of the process that runs then.
func (j *judge) knownSince(told Told) time.Time {
	since := told.At
	for _, life := range j.Lives {
		ended := !life.EndedAt.IsZero() && life.EndedAt.Before(told.At)
		if life.Sidecar != told.Sidecar || ended {
			continue
		}
		for _, from := range []time.Time{life.StartedAt, life.NewsFrom} {
			if from.After(since) {
				since = from
			}
		}
	}
	return since
}

// readyAgain reports whether a later change, after the one at an index, made a server ready before a moment. A sidecar may know
// that sooner than it has to.
func (j *judge) readyAgain(told Told, index int, before time.Time) bool {
	return slices.ContainsFunc(j.Told[index+1:], func(later Told) bool {
		return later.Sidecar == told.Sidecar && later.Server == told.Server && later.Phase == "ready" && later.HadAt.Before(before)
	})
}

// judgeSlowStarts checks what all sidecars together send to a server that has just started.
func (j *judge) judgeSlowStarts() {
	rules := &j.Plan.Settings.Rules
	window := time.Duration(rules.FallTime * float64(time.Millisecond))
	perSecond := float64(len(j.Attempts)) / j.Plan.Length.Seconds() / float64(j.Plan.Servers) // as if each could do just this
	for server, started := range j.Starts {
		var times []time.Time
		for _, attempt := range j.Attempts {
			if attempt.Server == server && attempt.LastByteAt.After(started) {
				times = append(times, attempt.LastByteAt)
			}
		}
		slices.SortFunc(times, func(a, b time.Time) int { return a.Compare(b) })
		for first, at := range times {
			end, _ := slices.BinarySearchFunc(times, at.Add(window), func(t, target time.Time) int { return t.Compare(target) })
			warm := min(1, rules.ColdFrom+(1-rules.ColdFrom)*at.Add(window).Sub(started).Seconds()*1000/rules.ColdTime)
			allowed := slowStartLimit(rules.FallMultiple * perSecond * warm * window.Seconds())
			if got := float64(end - first); got > allowed {
				j.report(RuleSlowStart, "", "server %s got %.0f requests in %v from %v after its start on, %.0f are allowed",
					server, got, window, at.Sub(started), allowed)
				break
			}
		}
	}
}

// slowStartLimit adds to a mean number of requests what chance allows.
func slowStartLimit(mean float64) float64 {
	if mean < 30 {
		return mean + 3*math.Sqrt(mean) + 3
	}
	return mean + 2*math.Sqrt(mean) + 2
}

// judgeProcesses checks that no process has crashed and that all were ready in time.
func (j *judge) judgeProcesses() {
	for _, life := range j.Lives {
		if life.Crash != nil {
			j.report(RuleProcess, "", "sidecar %s: %v", life.Sidecar, life.Crash)
		}
	}
	for _, err := range j.StartErrs {
		j.report(RuleProcess, "", "%v", err)
	}
}

// judgeBadClients checks that clients which complete no request are not kept, unless they have sent nothing.
func (j *judge) judgeBadClients() {
	late := 0
	for _, conn := range j.BadConns {
		if conn.EndedAt.IsZero() || conn.EndedAt.Sub(conn.OpenedAt) > badClientLimit+recordSlack {
			late++
		}
	}
	if late > 0 {
		j.report(RuleBadClient, "", "%d of %d clients that completed no request got neither a response nor a close in time", late, len(j.BadConns))
	}
}

// Timeline returns what the records hold about a request, or about all that a violation without one concerns.
func (r *Records) Timeline(traceID string) string {
	type entry struct {
		at   time.Time
		text string
	}
	var entries []entry
	add := func(at time.Time, format string, args ...any) {
		if !at.IsZero() {
			entries = append(entries, entry{at, fmt.Sprintf(format, args...)})
		}
	}
	for _, e := range r.Exchanges {
		if e.TraceID == traceID {
			add(e.BeganAt, "client of %s writes class %s, deadline %v, reused connection: %v, leaves after %v", e.Sidecar, e.Class, e.Deadline, e.ReusedConn, e.LeaveAfter)
			add(e.SentAt, "client has written the last byte")
			add(e.EndedAt, "client: %v, status %d, %v", e.End, e.Status, e.Err)
		}
	}
	for _, a := range r.Attempts {
		if a.TraceID == traceID {
			add(a.LastByteAt, "server %s has the request, %v left", a.Server, a.ExpiresIn)
			add(a.EndedAt, "server %s: end %d", a.Server, a.End)
		}
	}
	for _, life := range r.Lives {
		add(life.StartedAt, "sidecar %s starts", life.Sidecar)
		add(life.TermAt, "SIGTERM to %s", life.Sidecar)
		add(life.KilledAt, "SIGKILL to %s", life.Sidecar)
		add(life.EndedAt, "sidecar %s has ended", life.Sidecar)
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.at.Sub(r.BeganAt), b.at.Sub(r.BeganAt)) })
	text := ""
	for _, e := range entries {
		text += fmt.Sprintf("  %7.3f %s\n", e.at.Sub(r.BeganAt).Seconds(), e.text)
	}
	if traceID != "" && r.Logs != nil {
		for _, line := range r.Logs(traceID) {
			text += "  log: " + line + "\n"
		}
	}
	return text
}
