package upstream

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/metrics"
	"cindersaddle/internal/sidecartest"
)

// testMaxConns is a pool limit that no test reaches.
const testMaxConns = 500

// newTestClient returns a client with a pool of at most maxConns connections.
func newTestClient(t *testing.T, maxConns int) *Client {
	t.Helper()
	pool := NewPool(PoolConfig{ConnectTimeout: sidecartest.Timeout, IdleTimeout: sidecartest.Timeout, MaxConns: maxConns})
	t.Cleanup(pool.CloseAll)
	return &Client{
		pool: pool, loadReportFields: []string{"busy", "rate"}, checkPath: "/metrics/load", metrics: &metrics.Metrics{},
	}
}

// newEndpoint returns an endpoint that has its address as its name.
func newEndpoint(addr string) *Endpoint {
	endpoint := &Endpoint{Name: addr}
	endpoint.Address.Store(&addr)
	return endpoint
}

// clientConnected is a Message.ClientDisconnected that always reports that the client is still connected.
func clientConnected() bool { return false }

// ignoringObserver is an Observer that ignores every call.
type ignoringObserver struct{}

func (ignoringObserver) UploadSent(*Attempt, SentUpload) {}

func (ignoringObserver) ResponseStarted(*Attempt, StartedResponse) {}

func (ignoringObserver) StreamStarted(*Attempt, *exchange.Response, time.Time) {}

// newAttempt returns an attempt of a request with a short body. Its deadline is timeout from now.
func newAttempt(endpoint *Endpoint, timeout time.Duration) *Attempt {
	attempt := &Attempt{
		Endpoint: endpoint, Deadline: time.Now().Add(timeout), Observer: ignoringObserver{},
		Shutdown: &atomic.Pointer[exchange.ShutdownTimes]{},
		Message: &exchange.Message{
			Method: "POST", RequestURI: "/api", Host: "app.svc", Header: http.Header{}, Body: []byte("order 7"),
		},
	}
	attempt.Message.ClientDisconnected = clientConnected
	attempt.Context, attempt.Cancel = context.WithCancel(context.Background())
	return attempt
}

// expectResult makes an attempt, checks its result and returns its outcome.
func expectResult(t *testing.T, client *Client, attempt *Attempt, want balance.Result) Outcome {
	t.Helper()
	outcome := client.Do(attempt)
	attempt.Cancel()
	if outcome.Result != want {
		t.Errorf("got result %v (%d) with error %v, want %v (%d)", outcome.Result, outcome.Result, outcome.Err, want, want)
	}
	return outcome
}
