package discovery

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"cindersaddle/internal/membership"
	"cindersaddle/internal/sidecartest"
)

// TestWatchFromRevisionZero checks that revision 0 is watched like any other. Treated as no list at all, it led to thousands of calls
// a second for the complete list.
func TestWatchFromRevisionZero(t *testing.T) {
	server := sidecartest.NewDiscoveryServer(t)
	cfg := sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", "127.0.0.1:9"))
	cfg.Discovery, cfg.KnownEndpoints.Revision = server.Addr, 0
	startWatcher(t, cfg)
	if got := sidecartest.Next(t, server.Queries); got != "from=0&hold_ms=1200" {
		t.Errorf("the first call has the query %q", got)
	}
	server.Lists <- membership.EndpointList{Revision: 0, Complete: true}
	if got := sidecartest.Next(t, server.Queries); got != "from=0&hold_ms=1200" {
		t.Errorf("the second call has the query %q", got)
	}
	server.Lists <- membership.EndpointList{Revision: 3}
	if got := sidecartest.Next(t, server.Queries); got != "from=3&hold_ms=1200" {
		t.Errorf("the third call has the query %q", got)
	}
}

// TestFirstCallWithoutListIsForCompleteList checks that a watcher without a list gets the complete one before it watches.
func TestFirstCallWithoutListIsForCompleteList(t *testing.T) {
	server := sidecartest.NewDiscoveryServer(t)
	cfg := sidecartest.Config(t)
	cfg.Discovery, cfg.KnownEndpoints = server.Addr, membership.EndpointList{}
	startWatcher(t, cfg)
	if got := sidecartest.Next(t, server.Queries); got != "" {
		t.Errorf("the first call has the query %q", got)
	}
	server.Lists <- membership.EndpointList{Revision: 7, Complete: true}
	if got := sidecartest.Next(t, server.Queries); got != "from=7&hold_ms=1200" {
		t.Errorf("the second call has the query %q", got)
	}
}

// TestCompleteListAfterOlderRevision checks that changes to an older revision, which cannot be applied to the latest list, lead to a
// call for the complete list.
func TestCompleteListAfterOlderRevision(t *testing.T) {
	server := sidecartest.NewDiscoveryServer(t)
	cfg := sidecartest.Config(t)
	cfg.Discovery, cfg.KnownEndpoints = server.Addr, membership.EndpointList{Revision: 41, Complete: true}
	events := startWatcher(t, cfg)
	sidecartest.Next(t, server.Queries)
	server.Lists <- membership.EndpointList{Revision: 2}
	if got := sidecartest.Next(t, server.Queries); got != "" {
		t.Errorf("the call after the older revision has the query %q, want none", got)
	}
	server.Lists <- membership.EndpointList{Revision: 2, Complete: true}
	if event, ok := sidecartest.Next(t, events).(recordedList); !ok || !event.list.Complete {
		t.Errorf("got the event %#v, want the complete list", event)
	}
}

// TestPauseAfterUnchangedList checks that a service that does not hold watches is not called in a tight loop.
func TestPauseAfterUnchangedList(t *testing.T) {
	calls := make(chan time.Time, 100)
	cfg := sidecartest.Config(t)
	cfg.Discovery = sidecartest.ServeHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		select {
		case calls <- time.Now():
		default:
		}
		json.NewEncoder(w).Encode(membership.EndpointList{Revision: 41})
	}))
	startWatcher(t, cfg)
	first := sidecartest.Next(t, calls)
	for range 3 {
		sidecartest.Next(t, calls)
	}
	if took := sidecartest.Next(t, calls).Sub(first); took < 3*minCallInterval {
		t.Errorf("four more calls came within %v, want at least %v", took, 3*minCallInterval)
	}
}

// TestFailedCallIsReported checks that a failed call is reported, and that an agent is called again without a request. Polled discovery
// is called again when the balancer requests it.
func TestFailedCallIsReported(t *testing.T) {
	for name, pushed := range map[string]bool{"polled": false, "pushed": true} {
		t.Run(name, func(t *testing.T) {
			failing := make(chan bool, 2)
			failing <- true
			failing <- true
			calls := make(chan struct{}, 100)
			cfg := sidecartest.Config(t)
			cfg.Balance.PolledDiscovery = !pushed
			cfg.Discovery = sidecartest.ServeHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls <- struct{}{}
				select {
				case <-failing:
					w.WriteHeader(http.StatusServiceUnavailable)
				default:
					<-r.Context().Done()
				}
			}))
			events := startWatcher(t, cfg)
			sidecartest.Next(t, calls)
			if _, ok := sidecartest.Next(t, events).(recordedFailure); !ok {
				t.Error("the first event is not that of a failed call")
			}
			if pushed {
				sidecartest.Next(t, calls)
				sidecartest.Next(t, calls)
			}
		})
	}
}
