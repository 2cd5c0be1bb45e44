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

// TestUnresponsiveDiscoveryIsReported checks that discovery that becomes unresponsive on an open connection is noticed within seconds.
// A watch held for 20 s missed the replacement of the complete fleet.
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

// TestUnresponsiveAgentIsCalledAgainInTime checks that an agent that becomes unresponsive during a call is called again in time, or a
// drain is missed: changes have to be known 2 s after the hold of a watch, and 4 s after a reload.
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
				first := <-calls
				if took := (<-calls).Sub(first); took >= test.within {
					t.Errorf("called again after %v, want less than %v", took, test.within)
				}
				stop()
			})
		})
	}
}

// TestListInTimeAfterUnresponsiveWatch checks that a list arrives in time after a watch became unresponsive, in both forms of
// discovery: within 6 s, and within 2 s of the hold of a long watch. It does even if the first call afterwards fails as well.
func TestListInTimeAfterUnresponsiveWatch(t *testing.T) {
	const limit = 6 * time.Second
	for name, polled := range map[string]bool{"pushed": false, "polled": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := sidecartest.Config(t)
				cfg.Balance.PolledDiscovery, cfg.KnownEndpoints.Complete = polled, true
				events := make(eventRecorder, 10)
				watcher := NewWatcher(cfg, events)
				calls := make(chan string, 10)
				unresponsive := 2
				watcher.client.http.Transport = roundTripFunc(func(req *http.Request) (*http.Response, error) {
					calls <- req.URL.RawQuery
					if unresponsive--; unresponsive >= 0 {
						<-req.Context().Done()
						return nil, req.Context().Err()
					}
					if len(calls) > 3 { // the next watch stays open
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
						time.Sleep(500 * time.Millisecond) // the longest pause of the balancer after one failure
						watcher.RequestWatch()
					}
				}
				if took := time.Since(start); took >= limit || took >= watcher.timeouts.watchHold+2*time.Second && watcher.timeouts.watchHold >= 4*time.Second {
					t.Errorf("the list came %v after the watch became unresponsive", took)
				}
				<-calls
				if first, second := <-calls, <-calls; first != "" || second != "" {
					t.Errorf("the calls after the watch have the queries %q and %q, want none", first, second)
				}
				stop()
			})
		})
	}
}

// TestCallAlwaysOpenToUnresponsiveAgent checks that a call to an unresponsive agent is open at any moment: what it has to report takes
// effect as soon as it is back, and only an open call receives it.
func TestCallAlwaysOpenToUnresponsiveAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := sidecartest.Config(t)
		cfg.Balance.PolledDiscovery, cfg.KnownEndpoints.Complete = false, true
		watcher := NewWatcher(cfg, ignoringObserver{})
		calls := make(chan time.Duration) // how long none was open before each one
		var ended time.Time
		watcher.client.http.Transport = roundTripFunc(func(req *http.Request) (*http.Response, error) {
			gap := time.Duration(0)
			if !ended.IsZero() {
				gap = time.Since(ended)
			}
			calls <- gap
			<-req.Context().Done()
			ended = time.Now()
			return nil, req.Context().Err()
		})
		stop := run(t.Context(), watcher)
		for i := range 20 {
			if gap := <-calls; gap > 0 {
				t.Errorf("no call was open for %v before call %d", gap, i)
			}
		}
		stop()
	})
}

// TestCancelledCallClosesConnection checks that no call waits for the connection of a cancelled one while discovery is down and
// connection requests are lost: the kernel repeats them so seldom that a drain was known only seconds after discovery was back.
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
						watcher.RequestWatch() // as the balancer does in the end
					}
					if late := time.Since(dialer.ReachableAt); late > watcher.timeouts.responseSlack {
						t.Errorf("the list came %v after discovery was back, want at most %v", late, watcher.timeouts.responseSlack)
					}
					if most := dialer.MaxPending.Load(); most > 1 {
						t.Errorf("%d connections were being opened at a time, want 1", most)
					}
					cancel()
					stop()
				})
			})
		}
	}
}
