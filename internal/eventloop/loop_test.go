package eventloop

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/discovery"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/membership"
	"cindersaddle/internal/metrics"
	"cindersaddle/internal/sidecartest"
	"cindersaddle/internal/upstream"
)

// newTestUpstream returns a client whose limits no test reaches.
func newTestUpstream(t *testing.T) *upstream.Client {
	t.Helper()
	pool := upstream.NewPool(upstream.PoolConfig{ConnectTimeout: sidecartest.Timeout, IdleTimeout: sidecartest.Timeout, MaxConns: 500})
	t.Cleanup(pool.CloseAll)
	return upstream.NewClient(pool, nil, "/alive", &metrics.Metrics{})
}

// newTestLoop returns a loop that discards its log, has no upstream client and no watcher, and does not run.
func newTestLoop(t *testing.T) *Loop {
	t.Helper()
	return New(t.Context(), sidecartest.Config(t), &exchange.ServiceState{}, &metrics.Metrics{}, slog.New(slog.DiscardHandler))
}

// newTestExchange returns a GET request with 20 s to its deadline, whose client stays connected.
func newTestExchange(l *Loop, receivedAt time.Time) *exchange.Exchange {
	return &exchange.Exchange{
		Responses:  make(chan *exchange.Response, 1),
		TraceID:    "7",
		ReceivedAt: receivedAt,
		Settings:   l.settings,
		Request:    balance.Request{Remaining: 20000},
		Message: &exchange.Message{
			Method:     "GET",
			RequestURI: "/api",
			Host:       "app.svc",
			Header:     http.Header{},
			ClientGone: func() bool { return false },
		},
	}
}

// completeList returns an endpoint list with one ready endpoint.
func completeList(address string) endpointListUpdate {
	endpoints := []membership.Endpoint{sidecartest.ReadyEndpoint("s-1", address)}
	return endpointListUpdate{list: &membership.EndpointList{Complete: true, Members: endpoints}}
}

// A request that the balancer never finishes fails when its timer fires, and no later response is sent for it.
func TestExpiredRequestGetsExactlyOneResponse(t *testing.T) {
	l := newTestLoop(t)
	incoming := &exchange.Exchange{Responses: make(chan *exchange.Response, 1)}
	req := &request{id: 1, exchange: incoming}
	l.requests.byID[1] = req
	l.requests.byExchange[incoming] = req
	l.timers.schedule(timer{dueAt: l.clock.now, request: req})
	l.fireTimers()
	l.perform([]balance.Action{{Kind: balance.RejectRequest, Request: 1}, {Kind: balance.FailRequest, Request: 1}})
	l.finish(req, textResponse(200, "late"))
	if response := sidecartest.Next(t, incoming.Responses); response.Status != 504 {
		t.Errorf("status %d, want 504", response.Status)
	}
	if len(incoming.Responses) != 0 || len(l.requests.byID) != 0 || len(l.requests.byExchange) != 0 {
		t.Errorf("%d more responses, %d requests in the index, want none", len(incoming.Responses), len(l.requests.byID))
	}
}

// The timer of a request stays until the deadline, long after the response: it must not keep headers and body in memory.
func TestFinishedRequestReleasesItsMessage(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	l := newTestLoop(t)
	l.upstreamClient = newTestUpstream(t)
	l.applyList(completeList(server.Addr), balance.UpdateSnapshot)
	incoming := newTestExchange(l, l.clock.started)
	l.admitRequest(incoming)
	sidecartest.Next(t, l.inbox).apply(l) // the end of its attempt
	if response := sidecartest.Next(t, incoming.Responses); response.Status != 200 {
		t.Fatalf("status %d, want 200", response.Status)
	}
	if len(l.requests.byID)+len(l.requests.byExchange)+len(l.requests.byTraceID) != 0 {
		t.Errorf("%d requests in the index, want none", len(l.requests.byID))
	}
	for _, pending := range l.timers.heap {
		if req := pending.request; req != nil && (req.exchange != nil || req.attempts != nil) {
			t.Error("the request's timer still refers to its exchange or its attempts")
		}
	}
}

// All sidecars must hash a sticky key to the same endpoints, so that an endpoint's ID may not depend on the order in which a
// sidecar learned of the endpoints.
func TestEndpointIDsDoNotDependOnListOrder(t *testing.T) {
	endpoints := []membership.Endpoint{
		sidecartest.ReadyEndpoint("s-1", "127.0.0.1:1"),
		sidecartest.ReadyEndpoint("s-2", "127.0.0.1:2"),
		sidecartest.ReadyEndpoint("s-3", "127.0.0.1:3"),
	}
	idsInOrder := func(order ...int) map[string]balance.EndpointID {
		l := newTestLoop(t)
		l.upstreamClient = newTestUpstream(t)
		for _, i := range order {
			l.applyList(endpointListUpdate{list: &membership.EndpointList{Members: endpoints[i : i+1]}}, balance.UpdateDelta)
		}
		ids := map[string]balance.EndpointID{}
		for name, endpoint := range l.endpoints.byName {
			ids[name] = endpoint.ID
		}
		return ids
	}
	first, second := idsInOrder(0, 1, 2), idsInOrder(2, 0, 1)
	if !maps.Equal(first, second) || len(first) != 3 || first["s-1"] == first["s-2"] {
		t.Errorf("IDs %v and %v, want three equal ones that differ by name", first, second)
	}
}

// An unresponsive discovery agent is called several times a second while it is down; the log has one line a second about it.
func TestDiscoveryFailuresAreLoggedOncePerSecond(t *testing.T) {
	var text strings.Builder
	l := New(t.Context(), sidecartest.Config(t), &exchange.ServiceState{}, &metrics.Metrics{}, slog.New(slog.NewTextHandler(&text, nil)))
	l.watcher = discovery.NewWatcher(l.cfg, l)
	for range 40 { // ten seconds
		l.clock.now += 250
		endpointListFailure{errors.New("no answer")}.apply(l)
	}
	if got := strings.Count(text.String(), "list of servers"); got != 10 {
		t.Errorf("%d log lines in ten seconds, want 10", got)
	}
}

// A request that comes late in a shutdown has only the time until the process may be killed. It is rejected if there is no
// response by then, or if the response is long, which would not end in time.
func TestLateRequestsDuringShutdown(t *testing.T) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(sidecartest.LongBody))
	for name, c := range map[string]struct {
		response   sidecartest.Step
		late       bool
		wantStatus int
	}{
		"long response, late":    {sidecartest.RespondRaw(head + sidecartest.LongBody[:100]), true, 503},
		"short response, late":   {sidecartest.Respond(200, "ok"), true, 200},
		"no response, late":      {sidecartest.RespondRaw(""), true, 503},
		"long response, in time": {sidecartest.RespondRaw(head + sidecartest.LongBody[:100]), false, 200},
	} {
		t.Run(name, func(t *testing.T) {
			server := sidecartest.NewScriptedServer(t, c.response)
			l := newTestLoop(t)
			l.upstreamClient = newTestUpstream(t)
			now := time.Now()
			l.clock.now = l.clock.milliseconds(now)
			shutdown := &exchange.ShutdownTimes{LateAfter: now.Add(time.Hour), RespondBy: now.Add(300 * time.Millisecond)}
			if c.late {
				shutdown.LateAfter = now.Add(-time.Millisecond)
			}
			l.state.Shutdown.Store(shutdown)
			l.applyList(completeList(server.Addr), balance.UpdateSnapshot)
			incoming := newTestExchange(l, now)
			l.admitRequest(incoming)
			runUntilResponse(l, incoming)
			response := <-incoming.Responses
			if response.Status != c.wantStatus || l.clock.now > l.clock.milliseconds(shutdown.RespondBy)+deadlineSlack+1000 {
				t.Errorf("status %d after %v ms, want %d in time", response.Status, l.clock.now-l.clock.milliseconds(now), c.wantStatus)
			}
			if response.Download != nil {
				response.Download.Finish(exchange.ErrClientStopped)
			}
		})
	}
}

// runUntilResponse handles events and timers in the test's goroutine until the request has its response.
func runUntilResponse(l *Loop, incoming *exchange.Exchange) {
	for len(incoming.Responses) == 0 {
		select {
		case ev := <-l.inbox:
			l.clock.update()
			ev.apply(l)
		case <-time.After(time.Millisecond):
			l.clock.update()
			l.fireTimers()
		}
		l.handleLocalEvents()
	}
}

// Hundreds of endpoints take a small part of the 32 MB that a sidecar may be limited to, also after many complete lists.
func TestMemoryOfManyEndpoints(t *testing.T) {
	const endpointCount, maxBytes = 400, 4 << 20
	l := newTestLoop(t)
	l.upstreamClient = upstream.NewClient(upstream.NewPool(upstream.PoolConfig{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxConns: 116}), nil, "", l.metrics)
	heapBytes := func() uint64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heapBytes()
	for round := range 20 { // each list replaces the previous one
		list := sidecartest.NumberedEndpoints(endpointCount, "127.0.0.1:1")
		for i := range list.Members {
			list.Members[i].ID += fmt.Sprint(round)
		}
		l.applyList(endpointListUpdate{&list, "127.0.0.1:2"}, 0)
	}
	if grown := int64(heapBytes()) - int64(before); grown > maxBytes || l.endpoints.len() != endpointCount {
		t.Errorf("%d endpoints take %d bytes, want %d endpoints in %d bytes at most", l.endpoints.len(), grown, endpointCount, maxBytes)
	} else {
		t.Logf("%d endpoints take %d bytes", endpointCount, grown)
	}
	runtime.KeepAlive(l)
}
