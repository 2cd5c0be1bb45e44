package eventloop

import (
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"cindersaddle/balance"
	"cindersaddle/internal/discovery"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/metrics"
	"cindersaddle/internal/sidecartest"
)

// newLoggingLoop returns a loop like that of newTestLoop, which logs to text.
func newLoggingLoop(t *testing.T, text *strings.Builder) *Loop {
	t.Helper()
	log := slog.New(slog.NewTextHandler(text, nil))
	return New(t.Context(), sidecartest.Config(t), &exchange.ServiceState{}, &metrics.Metrics{}, log)
}

// Discovery is down and is called several times a second. The log must have only one line per second about it.
func TestDiscoveryFailuresAreLoggedOncePerSecond(t *testing.T) {
	var text strings.Builder
	l := newLoggingLoop(t, &text)
	l.watcher = discovery.NewWatcher(l.cfg, l)
	for range 40 { // ten seconds
		l.clock.now += 250
		endpointListFailed{errors.New("no answer")}.apply(l)
	}
	if got := strings.Count(text.String(), "endpoint list not received"); got != 10 {
		t.Errorf("got %d log lines in ten seconds, want 10", got)
	}
}

// A request ends without a response from an endpoint. The log must have one line with the reason, for operators who
// investigate; a later decision of the balancer about the request must not add another line.
func TestReasonOfUnservedRequestIsLogged(t *testing.T) {
	for reason, end := range map[unservedReason]func(*Loop, *request){
		reasonRejected:           func(l *Loop, req *request) { l.rejectRequest(req, 0) },
		reasonFailed:             func(l *Loop, req *request) { l.failRequest(req) },
		reasonClientDisconnected: func(l *Loop, req *request) { l.handleDisconnect(req.exchange) },
		reasonDeadlineExceeded:   func(l *Loop, req *request) { l.expireRequest(req, slog.LevelError, reasonDeadlineExceeded) },
	} {
		var text strings.Builder
		l := newLoggingLoop(t, &text)
		req := newOpenRequest(l)
		end(l, req)
		l.performActions([]balance.Action{
			{Kind: balance.RejectRequest, Request: req.id},
			{Kind: balance.FailRequest, Request: req.id},
		})
		want := fmt.Sprintf("reason=%s request=7 ", reason)
		if strings.Contains(string(reason), " ") {
			want = fmt.Sprintf("reason=%q request=7 ", reason)
		}
		if got := text.String(); strings.Count(got, "request not served") != 1 || !strings.Contains(got, want) {
			t.Errorf("got log %q, want one line with %q", got, want)
		}
	}
}
