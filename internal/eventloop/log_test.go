package eventloop

import (
	"errors"
	"log/slog"
	"strings"
	"testing"

	"cindersaddle/internal/discovery"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/metrics"
	"cindersaddle/internal/sidecartest"
)

// Discovery is down, and is called several times a second. The log must have one line a second about it.
func TestDiscoveryFailuresAreLoggedOncePerSecond(t *testing.T) {
	var text strings.Builder
	l := New(t.Context(), sidecartest.Config(t), &exchange.ServiceState{}, &metrics.Metrics{}, slog.New(slog.NewTextHandler(&text, nil)))
	l.watcher = discovery.NewWatcher(l.cfg, l)
	for range 40 { // ten seconds
		l.clock.now += 250
		endpointListFailure{errors.New("no answer")}.apply(l)
	}
	if got := strings.Count(text.String(), "endpoint list not received"); got != 10 {
		t.Errorf("%d log lines in ten seconds, want 10", got)
	}
}
