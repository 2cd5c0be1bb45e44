package discovery

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"cindersaddle/internal/sidecartest"
)

// TestUnresponsiveDiscoveryIsReported checks that a failure is reported within seconds if discovery becomes
// unresponsive while the connection stays open. With watches of 20 s, the Watcher missed the replacement of all
// endpoints.
func TestUnresponsiveDiscoveryIsReported(t *testing.T) {
	t.Parallel()
	server := sidecartest.NewDiscoveryServer(t)
	cfg := sidecartest.Config(t)
	cfg.Discovery = server.Addr
	events := startWatcher(t, cfg)
	sidecartest.Next(t, server.Queries)
	start := time.Now()
	if event := sidecartest.Next(t, events); event.err == nil {
		t.Errorf("got the event %v, want a failure", event)
	}
	if took := time.Since(start); took > sidecartest.Timeout/2 {
		t.Errorf("the failure was reported after %v, want at most %v", took, sidecartest.Timeout/2)
	}
}

// TestUnresponsiveAgentIsCalledAgainInTime checks that an agent that becomes unresponsive during a call is called
// again in time. Otherwise a drain is missed: changes have to be known 2 s after the hold of a watch, and 4 s after a
// reload.
func TestUnresponsiveAgentIsCalledAgainInTime(t *testing.T) {
	for name, test := range map[string]struct {
		synced bool
		within time.Duration
	}{
		"watch":         {true, agentWatchHold + 2*time.Second},
		"complete list": {false, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := sidecartest.Config(t)
				cfg.Balance.PolledDiscovery, cfg.KnownEndpoints.Complete = false, test.synced
				watcher := NewWatcher(cfg, ignoringObserver{})
				calls := make(chan time.Time)
				watcher.client.http.Transport = unresponsiveTransport(calls)
				stop := run(t.Context(), watcher)
				firstCall := <-calls
				if took := (<-calls).Sub(firstCall); took >= test.within {
					t.Errorf("called again after %v, want less than %v", took, test.within)
				}
				stop()
			})
		})
	}
}

// TestListInTimeAfterUnresponsiveWatch checks that a list arrives in time if discovery becomes unresponsive at the
// start of a watch, even if the first call after the watch fails as well: within 6 s, and for a long watch also within
// 2 s after the end of its hold.
func TestListInTimeAfterUnresponsiveWatch(t *testing.T) {
	const (
		limit          = 6 * time.Second
		limitAfterHold = 2 * time.Second // applies to watches with a hold of at least longHold
		longHold       = 4 * time.Second
	)
	for name, polled := range map[string]bool{"pushed": false, "polled": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := sidecartest.Config(t)
				cfg.Balance.PolledDiscovery, cfg.KnownEndpoints.Complete = polled, true
				events := make(eventRecorder, 10)
				watcher := NewWatcher(cfg, events)
				calls := make(chan string, 10)
				unresponsiveCalls := 2 // number of further calls that get no response
				watcher.client.http.Transport = roundTripFunc(func(req *http.Request) (*http.Response, error) {
					calls <- req.URL.RawQuery
					if unresponsiveCalls--; unresponsiveCalls >= 0 {
						<-req.Context().Done()
						return nil, req.Context().Err()
					}
					if len(calls) > 3 { // the watch after the list stays open
						<-req.Context().Done()
					}
					return emptyListResponse(), nil
				})
				watcher.RequestWatch()
				start := time.Now()
				stop := run(t.Context(), watcher)
				for event := range events {
					if event.list != nil {
						break
					}
					if polled {
						time.Sleep(500 * time.Millisecond) // the maximum pause of the balancer after a failure
						watcher.RequestWatch()
					}
				}
				took, hold := time.Since(start), watcher.timeouts.watchHold
				if took >= limit || took >= hold+limitAfterHold && hold >= longHold {
					t.Errorf("the list came %v after the start of the unresponsive watch, whose hold is %v; "+
						"want less than %v, and less than %v after the hold if that is at least %v",
						took, hold, limit, limitAfterHold, longHold)
				}
				<-calls
				if first, second := <-calls, <-calls; first != "" || second != "" {
					t.Errorf("the calls after the watch have the queries %q and %q, want no queries", first, second)
				}
				stop()
			})
		})
	}
}

// TestCallAlwaysOpenToUnresponsiveAgent checks that a call to an unresponsive agent is open at all times. When the
// agent recovers, the changes that it reports take effect at once, and only an open call receives them.
func TestCallAlwaysOpenToUnresponsiveAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := sidecartest.Config(t)
		cfg.Balance.PolledDiscovery, cfg.KnownEndpoints.Complete = false, true
		watcher := NewWatcher(cfg, ignoringObserver{})
		calls := make(chan time.Duration) // for how long no call was open before each call
		var lastEnd time.Time
		watcher.client.http.Transport = roundTripFunc(func(req *http.Request) (*http.Response, error) {
			gap := time.Duration(0)
			if !lastEnd.IsZero() {
				gap = time.Since(lastEnd)
			}
			calls <- gap
			<-req.Context().Done()
			lastEnd = time.Now()
			return nil, req.Context().Err()
		})
		stop := run(t.Context(), watcher)
		for i := range 20 {
			if gap := <-calls; gap > 0 {
				t.Errorf("no call was open for %v before call %d, want no gap", gap, i)
			}
		}
		stop()
	})
}

// TestCancelledCallClosesConnection checks that no call waits for a connection that was being opened for a cancelled
// call, while discovery is down and connection requests are lost. The kernel repeats a connection request so rarely
// that a drain was known only seconds after discovery was reachable again.
func TestCancelledCallClosesConnection(t *testing.T) {
	for name, polled := range map[string]bool{"pushed": false, "polled": true} {
		for down := 500 * time.Millisecond; down < 20*time.Second; down += 1500 * time.Millisecond {
			t.Run(fmt.Sprintf("%s, down for %v", name, down), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cfg := sidecartest.Config(t)
					cfg.Balance.PolledDiscovery, cfg.KnownEndpoints.Complete = polled, true
					ctx, cancel := context.WithCancel(t.Context())
					dialer := &sidecartest.LossyDialer{ReachableAt: time.Now().Add(down), Accept: func(c net.Conn) {
						defer c.Close()
						if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
							return
						}
						fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(emptyList), emptyList)
						<-ctx.Done()
					}}
					events := make(eventRecorder, 100)
					watcher := NewWatcher(cfg, events)
					watcher.Dial = dialer.Dial
					stop := run(ctx, watcher)
					watcher.RequestWatch()
					for event := range events {
						if event.list != nil {
							break
						}
						watcher.RequestWatch() // as the balancer does after a pause
					}
					if late := time.Since(dialer.ReachableAt); late > watcher.timeouts.responseSlack {
						t.Errorf("the list came %v after discovery was reachable, want at most %v", late, watcher.timeouts.responseSlack)
					}
					if maxPending := dialer.MaxPending.Load(); maxPending > 1 {
						t.Errorf("got %d connections being opened at a time, want at most 1", maxPending)
					}
					cancel()
					stop()
				})
			})
		}
	}
}
