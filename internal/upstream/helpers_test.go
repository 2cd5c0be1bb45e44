package upstream

import (
	"context"
	"net/http"
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/metrics"
	"cindersaddle/internal/sidecartest"
)

// newTestClient returns a client with a pool of at most maxConns connections.
func newTestClient(t *testing.T, maxConns int) *Client {
	t.Helper()
	pool := NewPool(PoolConfig{ConnectTimeout: sidecartest.Timeout, IdleTimeout: sidecartest.Timeout, MaxConns: maxConns})
	t.Cleanup(pool.CloseAll)
	return &Client{pool: pool, loadReportFields: []string{"busy", "rate"}, checkPath: "/metrics/load", metrics: &metrics.Metrics{}}
}

// newEndpoint returns an endpoint whose name is its address.
func newEndpoint(addr string) *Endpoint {
	endpoint := &Endpoint{Name: addr}
	endpoint.Address.Store(&addr)
	return endpoint
}

// clientConnected stands for a check whether the client has disconnected: it has not.
func clientConnected() bool { return false }

// ignoringObserver is an observer of attempts that ignores every call.
type ignoringObserver struct{}

func (ignoringObserver) UploadSent(*Attempt) {}

func (ignoringObserver) ResponseStarted(*Attempt, time.Time) {}

func (ignoringObserver) StreamStarted(*Attempt, *exchange.Response, time.Time) {}

// newAttempt returns an attempt of a request with a short body.
func newAttempt(endpoint *Endpoint, within time.Duration) *Attempt {
	attempt := &Attempt{
		Endpoint: endpoint, Deadline: time.Now().Add(within), Observer: ignoringObserver{},
		Message: &exchange.Message{Method: "POST", RequestURI: "/api", Host: "app.svc", Header: http.Header{}, Body: []byte("order 7")},
	}
	attempt.Message.ClientDisconnected = clientConnected
	attempt.Context, attempt.Cancel = context.WithCancel(context.Background())
	return attempt
}

// expectOutcome makes an attempt, checks its outcome and returns its result.
func expectOutcome(t *testing.T, client *Client, attempt *Attempt, want balance.Result) Ending {
	t.Helper()
	outcome := client.Do(attempt)
	attempt.Cancel()
	if outcome.Result != want {
		t.Errorf("outcome %d, want %d", outcome.Result, want)
	}
	return outcome
}
