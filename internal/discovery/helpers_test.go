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

// event is one call of an Observer's method: of ListFailed if err is not nil, and otherwise of ListReceived.
type event struct {
	list    *membership.EndpointList
	address string
	err     error
}

// isList reports whether the event is a list with the given revision.
func (e event) isList(revision int64) bool { return e.list != nil && e.list.Revision == revision }

// String describes the event for the message of a failed test.
func (e event) String() string {
	if e.err != nil {
		return fmt.Sprintf("failed call: %v", e.err)
	}
	return fmt.Sprintf("list %+v from %s", *e.list, e.address)
}

// eventRecorder is an Observer that sends each call to a channel.
type eventRecorder chan event

func (r eventRecorder) ListReceived(list *membership.EndpointList, address string) {
	r <- event{list: list, address: address}
}

func (r eventRecorder) ListFailed(err error) { r <- event{err: err} }

// listRecorder is an Observer that sends each list to a channel and ignores failed calls.
type listRecorder chan event

func (r listRecorder) ListReceived(list *membership.EndpointList, address string) {
	r <- event{list: list, address: address}
}

func (r listRecorder) ListFailed(error) {}

// ignoringObserver is an Observer that ignores lists and failed calls.
type ignoringObserver struct{}

func (ignoringObserver) ListReceived(*membership.EndpointList, string) {}

func (ignoringObserver) ListFailed(error) {}

// startWatcher runs a Watcher until the test ends, requests a watch, and returns the recorded events.
func startWatcher(t *testing.T, cfg *config.Config) eventRecorder {
	t.Helper()
	events := make(eventRecorder, 100)
	watcher := NewWatcher(cfg, events)
	runWatcher(t, watcher)
	watcher.RequestWatch()
	return events
}

// runWatcher runs a Watcher until the test ends.
func runWatcher(t *testing.T, watcher *Watcher) {
	t.Helper()
	t.Cleanup(run(context.Background(), watcher))
}

// run runs a Watcher until stop is called. stop waits until Run returns.
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

// emptyListResponse returns a response of discovery with emptyList.
func emptyListResponse() *http.Response {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(emptyList))}
}

// roundTripFunc is a function used as an http.RoundTripper.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }

// unresponsiveTransport is an http.RoundTripper that sends the start time of each call to the channel and never
// responds.
type unresponsiveTransport chan time.Time

func (t unresponsiveTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	t <- time.Now()
	<-req.Context().Done()
	return nil, req.Context().Err()
}
