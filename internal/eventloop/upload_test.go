package eventloop

import (
	"strings"
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
)

// The first attempt of a request with a long body fails, and the next one begins some time after the last byte: its endpoint
// must not work for a client that has given up. The attempt gets, and announces to the endpoint, only the time that remains for
// the client; a first attempt, before the last byte, gets all of it.
func TestRetriedUploadGetsRemainingTime(t *testing.T) {
	const (
		timeout = balance.Milliseconds(1000)
		since   = 400 * time.Millisecond
	)
	for name, test := range map[string]struct {
		complete bool
		want     balance.Milliseconds
	}{
		"before the last byte": {false, timeout},
		"after the last byte":  {true, 600},
	} {
		l := newTestLoop(t)
		incoming := newTestExchange(l, time.Now())
		incoming.Request.Uploading, incoming.Request.Remaining = true, timeout
		incoming.Message.Upload = &exchange.Upload{}
		if test.complete {
			incoming.Message.Upload.MarkReceived(time.Now().Add(-since))
		}
		req := addRequest(l, incoming)
		attempt := addAttempt(l, req)
		remaining := balance.MillisecondsOf(attempt.TimeAfterUpload)
		if remaining > test.want || remaining < test.want-100 {
			t.Errorf("%s: %v ms are announced to the endpoint, want %v", name, remaining, test.want)
		}
		if ends := time.Until(attempt.Deadline); test.complete && ends > 600*time.Millisecond {
			t.Errorf("%s: the attempt ends in %v, want 600 ms", name, ends)
		}
		l.finishUpload(attempt)
		if deadline := req.deadline - l.clock.now; deadline > test.want || deadline < test.want-100 {
			t.Errorf("%s: the request ends in %v ms, want %v", name, deadline, test.want)
		}
	}
}

// An attempt fails in the middle of a long body, and the next one begins some time later. Nobody reads the body between the two:
// its last byte may have come at any moment since. The attempt must not announce more time to its endpoint than can remain for
// the client.
func TestUploadPausedBetweenAttemptsGetsRemainingTime(t *testing.T) {
	const (
		timeout = balance.Milliseconds(1000)
		pause   = 300 * time.Millisecond
		slack   = balance.Milliseconds(150)
	)
	l := newTestLoop(t)
	incoming := newTestExchange(l, time.Now())
	incoming.Request.Uploading, incoming.Request.Remaining = true, timeout
	upload := &exchange.Upload{
		Length: 20, Source: strings.NewReader("a body, all of it"), Budget: &exchange.BufferBudget{}, SetReadTimeout: func(time.Duration) {},
	}
	incoming.Message.Upload = upload
	req := addRequest(l, incoming)
	if _, err := exchange.NewUploadReader(upload).Read(make([]byte, 5)); err != nil { // the first attempt, which fails then
		t.Fatal(err)
	}
	time.Sleep(pause)
	l.clock.update()
	attempt := addAttempt(l, req)
	want := timeout - balance.MillisecondsOf(pause) + slack
	if announced := balance.MillisecondsOf(attempt.TimeAfterUpload); announced > want {
		t.Errorf("%v ms are announced to the endpoint, want at most %v", announced, want)
	}
}
