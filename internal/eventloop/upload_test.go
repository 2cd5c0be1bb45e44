package eventloop

import (
	"strings"
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
)

// TestRetriedUploadHasTheTimeLeft checks that an attempt which begins some time after the last byte of a long body has come gets,
// and tells the server, only what the client has left; and the first attempt, before that byte, all of it.
func TestRetriedUploadHasTheTimeLeft(t *testing.T) {
	const waits, since = 1000.0, 400 * time.Millisecond
	for name, test := range map[string]struct {
		complete bool
		want     balance.Milliseconds
	}{
		"before the last byte": {false, waits},
		"after the last byte":  {true, 600},
	} {
		l := newTestLoop(t)
		l.clock.update()
		incoming := newTestExchange(l, time.Now())
		incoming.Request.Uploading, incoming.Request.Remaining = true, waits
		incoming.Message.Upload = &exchange.Upload{}
		if test.complete {
			incoming.Message.Upload.MarkComplete(time.Now().Add(-since))
		}
		req := newRequest(l.requests.nextID(), incoming)
		l.requests.add(req)
		endpoint := l.endpoints.add("s-1")
		attempt := l.newAttempt(req, &balance.Action{Kind: balance.SendAttempt, Request: req.id, Endpoint: endpoint.ID})
		left := balance.MillisecondsOf(attempt.TimeAfterUpload)
		if left > test.want || left < test.want-100 {
			t.Errorf("%s: the server is told %v ms, want %v", name, left, test.want)
		}
		if ends := time.Until(attempt.Deadline); test.complete && ends > 600*time.Millisecond {
			t.Errorf("%s: the attempt ends in %v, want 600 ms", name, ends)
		}
		req.attempts = append(req.attempts, attempt)
		l.finishUpload(attempt)
		if deadline := req.deadline - l.clock.now; deadline > test.want || deadline < test.want-100 {
			t.Errorf("%s: the request ends in %v ms, want %v", name, deadline, test.want)
		}
	}
}

// TestUploadPausedBetweenAttemptsHasTheTimeLeft checks that an attempt which begins some time after a failed one tells its server no
// more than the client can have left. Nobody reads the body between two attempts: its last byte may have come at any moment since.
func TestUploadPausedBetweenAttemptsHasTheTimeLeft(t *testing.T) {
	const waits, pause, slack = 1000.0, 300 * time.Millisecond, 150.0
	l := newTestLoop(t)
	l.clock.update()
	incoming := newTestExchange(l, time.Now())
	incoming.Request.Uploading, incoming.Request.Remaining = true, waits
	upload := &exchange.Upload{
		Length: 20, Source: strings.NewReader("a body, all of it"), Budget: &exchange.BufferBudget{}, SetReadTimeout: func(time.Duration) {},
	}
	incoming.Message.Upload = upload
	req := newRequest(l.requests.nextID(), incoming)
	l.requests.add(req)
	if _, err := exchange.NewUploadReader(upload).Read(make([]byte, 5)); err != nil { // the first attempt, which fails then
		t.Fatal(err)
	}
	time.Sleep(pause)
	l.clock.update()
	endpoint := l.endpoints.add("s-1")
	attempt := l.newAttempt(req, &balance.Action{Kind: balance.SendAttempt, Request: req.id, Endpoint: endpoint.ID})
	want := waits - balance.MillisecondsOf(pause) + slack
	if told := balance.MillisecondsOf(attempt.TimeAfterUpload); told > want {
		t.Errorf("the server is told %v ms, want at most %v", told, want)
	}
}
