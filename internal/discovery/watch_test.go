package discovery

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"cindersaddle/internal/membership"
	"cindersaddle/internal/sidecartest"
)

// TestWatchFromRevisionZero checks that a list of revision 0 is followed by a watch, like any other. When revision 0
// was treated as no list, the Watcher made thousands of calls per second for the complete list.
func TestWatchFromRevisionZero(t *testing.T) {
	server := sidecartest.NewDiscoveryServer(t)
	cfg := sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", "127.0.0.1:9"))
	cfg.Discovery, cfg.KnownEndpoints.Revision = server.Addr, 0
	startWatcher(t, cfg)
	if got := sidecartest.Next(t, server.Queries); got != "from=0&hold_ms=1200" {
		t.Errorf("the first call has the query %q, want from=0&hold_ms=1200", got)
	}
	server.Lists <- membership.EndpointList{Revision: 0, Complete: true}
	if got := sidecartest.Next(t, server.Queries); got != "from=0&hold_ms=1200" {
		t.Errorf("the second call has the query %q, want from=0&hold_ms=1200", got)
	}
	server.Lists <- membership.EndpointList{Revision: 3}
	if got := sidecartest.Next(t, server.Queries); got != "from=3&hold_ms=1200" {
		t.Errorf("the third call has the query %q, want from=3&hold_ms=1200", got)
	}
}

// TestFirstCallWithoutListIsForCompleteList checks that a Watcher without a list calls for the complete list first,
// and then starts a watch from the revision of that list.
func TestFirstCallWithoutListIsForCompleteList(t *testing.T) {
	server := sidecartest.NewDiscoveryServer(t)
	cfg := sidecartest.Config(t)
	cfg.Discovery, cfg.KnownEndpoints = server.Addr, membership.EndpointList{}
	startWatcher(t, cfg)
	if got := sidecartest.Next(t, server.Queries); got != "" {
		t.Errorf("the first call has the query %q, want none", got)
	}
	server.Lists <- membership.EndpointList{Revision: 7, Complete: true}
	if got := sidecartest.Next(t, server.Queries); got != "from=7&hold_ms=1200" {
		t.Errorf("the second call has the query %q, want from=7&hold_ms=1200", got)
	}
}

// TestCompleteListAfterOlderRevision checks that changes with an older revision, which cannot be applied to the latest
// list, are followed by a call for the complete list.
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
	if event := sidecartest.Next(t, events); event.list == nil || !event.list.Complete {
		t.Errorf("got the event %v, want the complete list", event)
	}
}

// TestPauseAfterUnchangedList checks that a discovery service that responds to watches at once is not called in a
// tight loop.
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

// TestFailedCallIsReported checks that a failed call is reported, and that an agent is called again without a request.
// Polled discovery is called again only when the balancer requests it.
func TestFailedCallIsReported(t *testing.T) {
	for name, pushed := range map[string]bool{"polled": false, "pushed": true} {
		t.Run(name, func(t *testing.T) {
			failures := make(chan bool, 2) // an element for each call that is to fail
			failures <- true
			failures <- true
			calls := make(chan struct{}, 100)
			cfg := sidecartest.Config(t)
			cfg.Balance.PolledDiscovery = !pushed
			cfg.Discovery = sidecartest.ServeHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls <- struct{}{}
				select {
				case <-failures:
					w.WriteHeader(http.StatusServiceUnavailable)
				default:
					<-r.Context().Done()
				}
			}))
			events := startWatcher(t, cfg)
			sidecartest.Next(t, calls)
			if event := sidecartest.Next(t, events); event.err == nil {
				t.Errorf("got the event %v first, want the failure of a call", event)
			}
			if pushed {
				sidecartest.Next(t, calls)
				sidecartest.Next(t, calls)
			}
		})
	}
}
