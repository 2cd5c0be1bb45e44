package eventloop

import (
	"fmt"
	"io"
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/http1"
	"cindersaddle/internal/sidecartest"
)

// A request arrives late in a shutdown, and the process is killed while its response is being sent: the client sees a
// reset connection. The request must be rejected in time if there is no response by then, or if the response is too
// long to be streamed before the end of the shutdown.
func TestLateRequestsDuringShutdown(t *testing.T) {
	const tolerance balance.Milliseconds = 1000
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(sidecartest.LongBody))
	for name, c := range map[string]struct {
		response   sidecartest.Step
		late       bool
		wantStatus int
	}{
		"streamed response, late":    {sidecartest.RespondRaw(head + sidecartest.LongBody[:100]), true, 503},
		"short response, late":       {sidecartest.Respond(200, "ok"), true, 200},
		"no response, late":          {sidecartest.RespondRaw(""), true, 503},
		"streamed response, in time": {sidecartest.RespondRaw(head + sidecartest.LongBody[:100]), false, 200},
	} {
		t.Run(name, func(t *testing.T) {
			server := sidecartest.NewScriptedServer(t, c.response)
			l := newTestLoop(t)
			l.upstreamClient = newTestUpstream(t)
			now := time.Now()
			l.clock.now = l.clock.toMilliseconds(now)
			shutdown := &exchange.ShutdownTimes{LateAfter: now.Add(time.Hour), RespondBy: now.Add(300 * time.Millisecond)}
			if c.late {
				shutdown.LateAfter = now.Add(-time.Millisecond)
			}
			l.serviceState.Shutdown.Store(shutdown)
			l.applyEndpointList(singleEndpointList(server.Addr), balance.UpdateSnapshot)
			ex := newTestExchange(l, now)
			l.registerRequest(ex)
			runUntilResponse(l, ex)
			response := <-ex.Responses
			limit := l.clock.toMilliseconds(shutdown.RespondBy) + deadlineSlack + tolerance
			if response.Status != c.wantStatus || l.clock.now > limit {
				start := l.clock.toMilliseconds(now)
				t.Errorf("got status %d after %v ms, want %d after at most %v ms",
					response.Status, l.clock.now-start, c.wantStatus, limit-start)
			}
			if response.Download != nil {
				response.Download.Finish(exchange.ErrDownloadStopped)
			}
		})
	}
}

// TestLongBodyLateInShutdownIsAnswered guards against a request without a final response when the process is killed: its endpoint
// hangs and does not accept its long body, and the last byte may have been written late in a shutdown. Before the shutdown is
// late, the body may take as long as it arrives.
func TestLongBodyLateInShutdownIsAnswered(t *testing.T) {
	const untilRespondBy, margin = 400 * time.Millisecond, 100 * time.Millisecond
	for name, c := range map[string]struct {
		lateAfter    time.Duration // from the begin of the test
		wantResponse bool
	}{
		"arrives late":      {-time.Millisecond, true},
		"becomes late":      {untilRespondBy / 2, true},
		"before it is late": {time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newTestLoop(t)
			l.upstreamClient = newTestUpstream(t)
			hanging := sidecartest.Listen(t) // its connections are established, and nothing is read
			l.applyEndpointList(singleEndpointList(hanging.Addr().String()), balance.UpdateSnapshot)
			begin := time.Now()
			l.serviceState.Shutdown.Store(&exchange.ShutdownTimes{
				LateAfter: begin.Add(c.lateAfter), RespondBy: begin.Add(untilRespondBy),
			})
			ex := newTestExchange(l, begin)
			ex.Request.Uploading, ex.Request.Remaining = true, 20_000
			ex.Message.Upload = newEndlessUpload(t)
			l.clock.update()
			l.registerRequest(ex)
			runUntilResponseOr(l, ex, begin.Add(untilRespondBy+margin))
			if responded := len(ex.Responses) > 0; responded != c.wantResponse {
				t.Errorf("got a final response by the time limit: %v, want %v", responded, c.wantResponse)
			}
		})
	}
}

// newEndlessUpload returns an upload whose client goes on writing: its last byte is always still to come.
func newEndlessUpload(t *testing.T) *exchange.Upload {
	t.Helper()
	body, client := io.Pipe()
	t.Cleanup(func() { client.Close() })
	upload := &exchange.Upload{
		Length: http1.UnknownLength, Source: body, Budget: &exchange.ReplayBudget{}, SetReadTimeout: func(time.Duration) {},
	}
	upload.SetFirstBytes([]byte("the beginning"))
	upload.ObserveArrival = func() { upload.Arrival.NoteWait(time.Now()) }
	return upload
}
