package discovery

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cindersaddle/internal/config"
	"cindersaddle/internal/membership"
)

// eventRecorder is an observer that records each call as a recordedList or a recordedFailure.
type eventRecorder chan any

func (r eventRecorder) ListReceived(l *membership.EndpointList, from string) {
	r <- recordedList{l, from}
}

func (r eventRecorder) ListFailed(err error) { r <- recordedFailure{err} }

// recordedList is a call of ListReceived.
type recordedList struct {
	list *membership.EndpointList
	from string
}

// recordedFailure is a call of ListFailed.
type recordedFailure struct{ err error }

// listRecorder is an observer that records lists only.
type listRecorder chan recordedList

func (r listRecorder) ListReceived(l *membership.EndpointList, from string) {
	r <- recordedList{l, from}
}

func (r listRecorder) ListFailed(error) {}

// ignoringObserver is an observer that ignores every call.
type ignoringObserver struct{}

func (ignoringObserver) ListReceived(*membership.EndpointList, string) {}

func (ignoringObserver) ListFailed(error) {}

// startWatcher runs a watcher with a requested watch until the test ends, and returns what it reports.
func startWatcher(t *testing.T, cfg *config.Config) eventRecorder {
	t.Helper()
	events := make(eventRecorder, 100)
	watcher := NewWatcher(cfg, events)
	runWatcher(t, watcher)
	watcher.RequestWatch()
	return events
}

// runWatcher runs a watcher until the test ends.
func runWatcher(t *testing.T, watcher *Watcher) {
	t.Helper()
	t.Cleanup(run(context.Background(), watcher))
}

// run runs a watcher until stop is called, which waits until Run returns.
func run(ctx context.Context, watcher *Watcher) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		watcher.Run(ctx)
		close(done)
	}()
	return func() {
		cancel()
		<-done
	}
}

// emptyList is a complete list of revision 42 without endpoints.
const emptyList = `{"revision": 42, "complete": true, "members": []}`

// emptyListResponse returns the response of discovery that sends emptyList.
func emptyListResponse() *http.Response {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(emptyList))}
}

// roundTripFunc is a transport made of a function.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }

// unresponsiveTransport is a transport that accepts calls and answers none.
type unresponsiveTransport struct{ calls chan time.Time }

func (s unresponsiveTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	s.calls <- time.Now()
	<-req.Context().Done()
	return nil, req.Context().Err()
}
