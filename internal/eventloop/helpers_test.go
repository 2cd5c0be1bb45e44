package eventloop

import (
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/membership"
	"cindersaddle/internal/metrics"
	"cindersaddle/internal/sidecartest"
	"cindersaddle/internal/upstream"
)

// newTestUpstream returns a client with limits that no test reaches.
func newTestUpstream(t *testing.T) *upstream.Client {
	t.Helper()
	pool := upstream.NewPool(upstream.PoolConfig{
		ConnectTimeout: sidecartest.Timeout, IdleTimeout: sidecartest.Timeout, MaxConns: 500,
	})
	t.Cleanup(pool.CloseAll)
	return upstream.NewClient(pool, nil, "/alive", &metrics.Metrics{})
}

// newTestLoop returns a loop that discards its log, has no upstream client and no watcher, and does not run.
func newTestLoop(t *testing.T) *Loop {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	return New(t.Context(), sidecartest.Config(t), &exchange.ServiceState{}, &metrics.Metrics{}, log)
}

// newOpenRequest adds a request of newTestExchange to the loop's index, without passing it to the balancer.
func newOpenRequest(l *Loop) *request { return addRequest(l, newTestExchange(l, time.Now())) }

// addRequest adds the request of an exchange to the loop's index, without passing it to the balancer.
func addRequest(l *Loop, ex *exchange.Exchange) *request {
	l.clock.update()
	req := newRequest(l.requests.nextID(), ex)
	l.requests.add(req)
	return req
}

// addAttempt adds an attempt of a request at a new endpoint, without sending it.
func addAttempt(l *Loop, req *request) *upstream.Attempt {
	endpoint := l.endpoints.add(fmt.Sprint("s-", l.endpoints.len()+1))
	attempt := l.newAttempt(req, &balance.Action{Kind: balance.SendAttempt, Request: req.id, Endpoint: endpoint.ID})
	req.attempts.add(attempt)
	return attempt
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
			Method:             "GET",
			RequestURI:         "/api",
			Host:               "app.svc",
			Header:             http.Header{},
			ClientDisconnected: func() bool { return false },
		},
	}
}

// singleEndpointList returns a complete endpoint list with one ready endpoint.
func singleEndpointList(address string) endpointListUpdate {
	endpoints := []membership.Endpoint{sidecartest.ReadyEndpoint("s-1", address)}
	return endpointListUpdate{list: &membership.EndpointList{Complete: true, Endpoints: endpoints}}
}

// runUntilResponse handles events and timers in the test's goroutine until the request has its response.
func runUntilResponse(l *Loop, ex *exchange.Exchange) {
	runUntilResponseOr(l, ex, time.Now().Add(time.Hour))
}

// runUntilResponseOr is runUntilResponse with an end.
func runUntilResponseOr(l *Loop, ex *exchange.Exchange, end time.Time) {
	for len(ex.Responses) == 0 && time.Now().Before(end) {
		select {
		case ev := <-l.inbox.events:
			l.clock.update()
			ev.apply(l)
		case <-time.After(time.Millisecond):
			l.clock.update()
			l.fireTimers()
		}
		l.handleLocalEvents()
	}
}

// newLoopWithEndpoint returns a loop with one endpoint that started age ago, and the list entry of that endpoint.
func newLoopWithEndpoint(t *testing.T, age balance.Milliseconds) (*Loop, membership.Endpoint) {
	t.Helper()
	l := newTestLoop(t)
	l.upstreamClient = newTestUpstream(t)
	l.clock.update()
	entry := sidecartest.ReadyEndpoint("s-1", "127.0.0.1:9")
	entry.StartedAt = l.clock.now - age
	list := &membership.EndpointList{Complete: true, Endpoints: []membership.Endpoint{entry}}
	l.applyEndpointList(endpointListUpdate{list: list}, balance.UpdateSnapshot)
	return l, entry
}
