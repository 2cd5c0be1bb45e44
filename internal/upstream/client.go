// Package upstream sends attempts and health checks to endpoints over a connection pool and reports their outcomes.
//
// It does not use http.Transport, which resends a request on its own when an idle connection turns out to be dead, and
// does not report whether the last byte was written. An attempt must know that: a request whose last byte was not
// written was not executed and may be retried.
//
// The event loop owns the endpoints and the attempts. The package reads them; while it reads them, only the atomic
// fields change: Endpoint.Address, Endpoint.Closed and Attempt.RequestDone. The caller runs Client.Do and
// Client.CheckHealth on one goroutine per attempt or health check. An attempt with a streamed request body starts a
// second goroutine, which writes the body. Pool.Run closes idle connections on its own goroutine. A mutex guards the
// pool.
package upstream

import (
	"cindersaddle/balance"
	"cindersaddle/internal/metrics"
)

// Client sends attempts and health checks to endpoints. It is safe for concurrent use.
type Client struct {
	pool             *Pool
	loadReportFields []string // names of the values of a load report, in the order of Outcome.LoadReport
	checkPath        string   // path that health checks request

	metrics        *metrics.Metrics
	lengthObserver lengthObserver
	unreadPeeker   unreadPeeker
}

// NewClient returns a client that uses the connections of pool. fields are the names of the values of a load report, in the
// order that the balancer expects; health checks request checkPath.
func NewClient(pool *Pool, fields []string, checkPath string, counters *metrics.Metrics) *Client {
	return &Client{pool: pool, loadReportFields: fields, checkPath: checkPath, metrics: counters}
}

// CloseIdle closes the idle connections to an endpoint.
func (c *Client) CloseIdle(endpoint *Endpoint) { c.pool.CloseIdle(endpoint) }

// Do makes an attempt and returns its outcome. Unless the response is streamed, it returns no later than the deadline
// of the attempt, or balance.LateResponseGrace after it if the response has no length, and soon after a cancellation.
func (c *Client) Do(attempt *Attempt) Outcome {
	if attempt.obsolete() {
		return Outcome{Result: balance.NotAttempted}
	}
	conn, err := c.pool.get(attempt.Context, attempt.Endpoint, attempt.sendDeadline())
	if err != nil {
		return Outcome{Result: attempt.connectErrorResult(err), Err: err}
	}
	// While the connection was being opened, the client may have disconnected or the endpoint may have begun to drain.
	// The request must not be executed then. This last check before the first byte asks the kernel about the client,
	// because the goroutine that monitors its connection, and the event loop, may not have run since it disconnected.
	clientDisconnected := attempt.Message.ClientDisconnected()
	if clientDisconnected || attempt.mustNotSend() {
		c.pool.put(conn)
		return Outcome{Result: balance.NotAttempted, ClientDisconnected: clientDisconnected}
	}
	result := runInterruptible(attempt.Context, conn, attempt.Deadline, func() roundTripOutcome {
		limit := startSendLimit(attempt, conn)
		defer limit.stop()
		return c.roundTrip(attempt, conn)
	})
	if attempt.withdrawn.Load() {
		result.connReusable = false
		result.outcome.Err = errReceivedTooLate
	}
	return c.releaseConn(conn, result)
}

// releaseConn returns a connection to the pool, or closes it if it cannot be reused: what it has not delivered by then is
// never delivered. A connection with an unfinished response may be closed later. It returns the outcome of the round trip.
func (c *Client) releaseConn(conn *endpointConn, result roundTripOutcome) Outcome {
	closeConn := func() {
		conn.discardUnsent()
		c.pool.closeConn(conn)
	}
	switch {
	case result.connReusable:
		c.pool.put(conn)
	case result.unfinished == nil || !c.lengthObserver.start(conn, result.unfinished, closeConn):
		closeConn()
	}
	return result.outcome
}
