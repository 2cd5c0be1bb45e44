package upstream

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/http1"
)

// healthCheckSlack is how long a health check may take in addition to the connect timeout.
const healthCheckSlack = 250 * time.Millisecond

// CheckHealth makes a health check of an endpoint and returns its outcome, which has no Response. It takes at most the
// connect timeout plus healthCheckSlack.
func (c *Client) CheckHealth(ctx context.Context, endpoint *Endpoint) Outcome {
	deadline := time.Now().Add(c.pool.connectTimeout + healthCheckSlack)
	conn, err := c.pool.get(ctx, endpoint, deadline)
	if err != nil {
		return Outcome{Result: noConnectionResult(ctx, err)}
	}
	if endpoint.Closed.Load() { // it began to drain while the connection was being opened
		c.pool.put(conn)
		return Outcome{Result: balance.NotAttempted}
	}
	result := runInterruptible(ctx, conn, deadline, func() roundTripOutcome { return c.sendHealthCheck(conn) })
	return c.releaseConn(conn, result)
}

// sendHealthCheck writes the request of a health check and reads its response.
func (c *Client) sendHealthCheck(conn *endpointConn) roundTripOutcome {
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", c.checkPath, *conn.address); err != nil {
		return failedRoundTrip(balance.ConnectFailed, err)
	}
	response, err := conn.reader.Next(http.MethodGet, healthCheckObserver{})
	if err != nil {
		return failedRoundTrip(responseErrorResult(err), err)
	}
	return roundTripOutcome{outcome: c.healthCheckOutcome(response), connReusable: !response.Streaming && conn.reusableAfter(response)}
}

// healthCheckObserver reserves no memory for the response to a health check, so that only its first part is read: a load report is
// short. There may be as many health checks at once as endpoints.
type healthCheckObserver struct{ http1.NopResponseObserver }

// ReserveBody implements http1.ResponseObserver.
func (healthCheckObserver) ReserveBody(int) bool { return false }

// healthCheckOutcome returns the outcome of a health check. The load report is in the header or the body of the response.
func (c *Client) healthCheckOutcome(response http1.Response) Outcome {
	outcome := Outcome{Result: balance.ServerError, LoadReport: loadReportFrom(response.Head, c.loadReportFields)}
	if outcome.LoadReport == nil && !response.Streaming {
		outcome.LoadReport = parseLoadReport(string(response.Body), c.loadReportFields)
	}
	if response.Head.StatusCode == http.StatusOK {
		outcome.Result = balance.OK
	}
	return outcome
}
