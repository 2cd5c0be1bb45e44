package eventloop

import (
	"math"
	"strings"
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/upstream"
)

// The first attempt of a request with a long body fails, and the next one starts some time after the last byte arrived.
// It must get only the time that remains for the client, and announce that to the endpoint: otherwise the endpoint
// works for a client that has given up. A first attempt, which starts before the last byte arrives, gets the complete
// time limit.
func TestRetriedUploadGetsRemainingTime(t *testing.T) {
	const (
		timeLimit     = balance.Milliseconds(1000)
		sinceLastByte = 400 * time.Millisecond
		tolerance     = balance.Milliseconds(100)
	)
	for name, test := range map[string]struct {
		complete bool
		want     balance.Milliseconds
	}{
		"before the last byte": {false, timeLimit},
		"after the last byte":  {true, 600},
	} {
		l := newTestLoop(t)
		ex := newTestExchange(l, time.Now())
		ex.Request.Uploading, ex.Request.Remaining = true, timeLimit
		ex.Message.Upload = &exchange.Upload{}
		ex.Message.Upload.Arrival.Start(time.Now(), time.Now())
		if test.complete {
			ex.Message.Upload = &exchange.Upload{}
			ex.Message.Upload.Arrival.Start(time.Now().Add(-sinceLastByte), time.Now())
			ex.Message.Upload.Arrival.Complete()
			ex.Message.Upload.Received.Store(true)
		}
		req := addRequest(l, ex)
		attempt := addAttempt(l, req)
		remaining := balance.MillisecondsOf(attempt.PostUploadTimeout)
		if remaining > test.want || remaining < test.want-tolerance {
			t.Errorf("%s: got %v ms announced to the endpoint, want %v", name, remaining, test.want)
		}
		if ends := time.Until(attempt.Deadline); test.complete && ends > 600*time.Millisecond {
			t.Errorf("%s: got an attempt that ends in %v, want at most 600 ms", name, ends)
		}
		l.handleUploadSent(uploadSent{attempt: attempt, sent: upstream.SentUpload{At: time.Now()}})
		if deadline := req.deadline - l.clock.now; deadline > test.want || deadline < test.want-tolerance {
			t.Errorf("%s: got a request that ends in %v ms, want %v", name, deadline, test.want)
		}
	}
}

// An attempt fails in the middle of a long body, and the next one starts after a pause. The body is not read in
// between, so its last byte may have arrived at any moment of the pause. The next attempt must not announce more time
// to its endpoint than certainly remains for the client.
func TestUploadPausedBetweenAttemptsGetsRemainingTime(t *testing.T) {
	const (
		timeLimit = balance.Milliseconds(1000)
		pause     = 300 * time.Millisecond
		slack     = balance.Milliseconds(150)
	)
	l := newTestLoop(t)
	ex := newTestExchange(l, time.Now())
	ex.Request.Uploading, ex.Request.Remaining = true, timeLimit
	upload := &exchange.Upload{
		Length:         20,
		Source:         strings.NewReader("a body, all of it"),
		Budget:         &exchange.ReplayBudget{},
		SetReadTimeout: func(time.Duration) {},
	}
	upload.Arrival.Start(time.Now(), time.Now())
	ex.Message.Upload = upload
	req := addRequest(l, ex)
	firstAttemptReader := exchange.NewUploadReader(upload) // the first attempt fails after 5 bytes
	if _, err := firstAttemptReader.Read(make([]byte, 5)); err != nil {
		t.Fatalf("got error %v from the first read, want none", err)
	}
	time.Sleep(pause)
	l.clock.update()
	attempt := addAttempt(l, req)
	want := timeLimit - balance.MillisecondsOf(pause) + slack
	if announced := balance.MillisecondsOf(attempt.PostUploadTimeout); announced > want {
		t.Errorf("got %v ms announced to the endpoint, want at most %v", announced, want)
	}
}

// TestRetryIsSentWithinBalancerLimit checks that an attempt gets the balancer's limit for sending, or its own deadline if
// that is earlier. Without the limit, an endpoint could receive a retry after it has forgotten the key.
func TestRetryIsSentWithinBalancerLimit(t *testing.T) {
	const timeLimit = balance.Milliseconds(20_000)
	for name, test := range map[string]struct {
		limit, want balance.Milliseconds // after now; 0: no limit
	}{
		"no limit":            {0, 0},
		"before the deadline": {500, 500},
		"after the deadline":  {2 * timeLimit, timeLimit},
		"far in the future":   {balance.Milliseconds(math.MaxFloat64), timeLimit},
	} {
		l := newTestLoop(t)
		req := newOpenRequest(l)
		req.setDeadline(l.clock.now)
		action := &balance.Action{Kind: balance.SendAttempt, Request: req.id}
		if test.limit > 0 {
			action.SendBy = l.clock.now + test.limit
		}
		attempt := l.newAttempt(req, action)
		if test.want == 0 && attempt.SendBy.IsZero() {
			continue
		}
		got := l.clock.toMilliseconds(attempt.SendBy) - l.clock.now
		if math.Abs(float64(got-test.want)) > 1 {
			t.Errorf("%s: got a limit %v ms from now, want %v ms", name, got, test.want)
		}
	}
}
