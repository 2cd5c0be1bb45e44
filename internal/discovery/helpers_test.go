package discovery

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cindersaddle/internal/config"
	"cindersaddle/internal/membership"
)

// event is one call of an Observer: of ListReceived, or of ListFailed if err is set.
type event struct {
	list    *membership.EndpointList
	address string
	err     error
}

// isList reports whether the event is a list of a revision.
func (e event) isList(revision int64) bool { return e.list != nil && e.list.Revision == revision }

// String describes the event for the message of a failed test.
func (e event) String() string {
	if e.err != nil {
		return fmt.Sprintf("failed call: %v", e.err)
	}
	return fmt.Sprintf("list %+v from %s", *e.list, e.address)
}

// eventRecorder is an observer that records each call.
type eventRecorder chan event

func (r eventRecorder) ListReceived(list *membership.EndpointList, address string) {
	r <- event{list: list, address: address}
}

func (r eventRecorder) ListFailed(err error) { r <- event{err: err} }

// listRecorder is an observer that records lists only.
type listRecorder chan event

func (r listRecorder) ListReceived(list *membership.EndpointList, address string) {
	r <- event{list: list, address: address}
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

// unresponsiveTransport is a transport that accepts calls, sends the time of each, and responds to none.
type unresponsiveTransport chan time.Time

func (t unresponsiveTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	t <- time.Now()
	<-req.Context().Done()
	return nil, req.Context().Err()
}
