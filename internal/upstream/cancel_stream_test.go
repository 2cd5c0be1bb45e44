package upstream

import (
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/sidecartest"
)

// streamRecorder records whether a response is streamed. It calls onHead, if set, when the head of the response arrives.
type streamRecorder struct {
	ignoringObserver
	onHead   func(*Attempt)
	streamed bool
}

func (r *streamRecorder) ResponseStarted(attempt *Attempt, _ StartedResponse) {
	if r.onHead != nil {
		r.onHead(attempt)
	}
}

func (r *streamRecorder) StreamStarted(_ *Attempt, response *exchange.Response, _ time.Time) {
	r.streamed = true
	response.Download.Finish(exchange.ErrDownloadStopped)
}

// TestInterruptedResponseIsNotStreamed checks that a response of unknown length is not streamed if its attempt is
// cancelled, or its deadline passes, while the first part of the body is read. Both interrupt the read in the same way
// as the end of maxResponseHold, after which the response would be streamed.
func TestInterruptedResponseIsNotStreamed(t *testing.T) {
	responses := map[string]string{
		"until close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
		"chunked":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	}
	for name, interruption := range map[string]struct {
		timeout time.Duration
		onHead  func(*Attempt)
		want    balance.Result
	}{
		"cancelled": {sidecartest.Timeout, func(attempt *Attempt) { attempt.Cancel() }, balance.Cancelled},
		"deadline":  {10 * time.Millisecond, nil, balance.TimedOut},
	} {
		for framing, response := range responses {
			t.Run(name+", "+framing, func(t *testing.T) {
				server := sidecartest.NewScriptedServer(t, sidecartest.RespondRaw(response))
				attempt := newAttempt(newEndpoint(server.Addr), interruption.timeout)
				recorder := &streamRecorder{onHead: interruption.onHead}
				attempt.Observer = recorder
				expectResult(t, newTestClient(t, testMaxConns), attempt, interruption.want)
				if recorder.streamed {
					t.Error("the response was streamed, want it not streamed")
				}
			})
		}
	}
}
