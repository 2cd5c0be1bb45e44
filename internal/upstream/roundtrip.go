package upstream

import (
	"context"
	"errors"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/http1"
	"cindersaddle/internal/metrics"
	"cindersaddle/internal/socket"
)

// roundTripOutcome describes how a round trip ended: one request and its response on one connection.
type roundTripOutcome struct {
	outcome      Outcome
	connReusable bool                // the connection may carry another request
	unfinished   *unfinishedResponse // a response on the connection whose length may be of use; may be nil
}

// failedRoundTrip returns the outcome of a round trip without a complete response. Its connection must be closed.
func failedRoundTrip(result balance.Result, err error) roundTripOutcome {
	return roundTripOutcome{outcome: Outcome{Result: result, Err: err}}
}

// failedResponse returns the outcome of a round trip whose request was sent and whose response could not be read completely.
func (c *Client) failedResponse(observer *attemptObserver, response http1.Response, err error) roundTripOutcome {
	attempt := observer.attempt
	result := failedRoundTrip(attempt.readErrorResult(err), err)
	result.unfinished = newUnfinishedResponse(attempt, response, err)
	if result.unfinished != nil {
		c.metrics.UnknownLength.Count(metrics.FailedUndecided)
		arrivals := observer.hold.arrivals
		result.outcome.Err = overdueError(int64(arrivals.received), arrivals.pause(time.Now()))
	}
	return result
}

// runInterruptible runs a round trip that may take until the deadline. If ctx is done, it interrupts the round trip:
// all reads and writes of the connection return an error, and the connection is not reused.
func runInterruptible(
	ctx context.Context, conn *endpointConn, deadline time.Time, roundTrip func() roundTripOutcome,
) roundTripOutcome {
	conn.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(socket.PastDeadline) })
	result := roundTrip()
	interrupted := !stop()
	result.connReusable = result.connReusable && !interrupted
	if interrupted {
		result.unfinished = nil
	}
	return result
}

// roundTrip writes the request of an attempt and reads its response.
func (c *Client) roundTrip(attempt *Attempt, conn *endpointConn) roundTripOutcome {
	if attempt.Message.Upload != nil {
		return c.roundTripUpload(attempt, conn)
	}
	return c.roundTripBuffered(attempt, conn)
}

// roundTripBuffered sends a request whose complete body is in memory and reads the response.
func (c *Client) roundTripBuffered(attempt *Attempt, conn *endpointConn) roundTripOutcome {
	// A request that may have been executed must not be retried. Its last byte was sent if the kernel accepted all bytes of
	// the last call.
	for _, part := range requestParts(attempt.Message, time.Until(attempt.Deadline)) {
		if written, err := conn.Write(part); written < len(part) {
			return failedRoundTrip(attempt.writeErrorResult(err), err)
		}
	}
	attempt.requestWritten.Store(true)
	c.metrics.Attempts.Add(1)
	observer := newAttemptObserver(attempt, conn, &c.unreadPeeker)
	response, err := conn.reader.Next(attempt.Message.Method, observer)
	if err != nil {
		return c.failedResponse(observer, response, err)
	}
	return c.handleResponse(observer, response)
}

// maxJoinedBody is the size in bytes up to which a body is sent in one call with the head. A longer one is not copied.
const maxJoinedBody = 4 << 10

// requestParts returns a message in HTTP/1.1 format, in the parts in which it is written.
func requestParts(message *exchange.Message, remaining time.Duration) [][]byte {
	head := message.EncodeHead(remaining)
	switch {
	case len(message.Body) == 0:
		return [][]byte{head}
	case len(message.Body) <= maxJoinedBody:
		return [][]byte{append(head, message.Body...)}
	}
	return [][]byte{head, message.Body}
}

// roundTripUpload sends a request while its body is still arriving from the client. The response may arrive before the
// body is complete.
func (c *Client) roundTripUpload(attempt *Attempt, conn *endpointConn) roundTripOutcome {
	writer := newUploadWriter(attempt, conn)
	head := attempt.Message.EncodeHead(attempt.PostUploadTimeout)
	go writer.run(head, func(sentAt time.Time) { c.uploadSent(attempt, conn, sentAt) })

	observer := newAttemptObserver(attempt, conn, &c.unreadPeeker)
	response, err := conn.reader.Next(attempt.Message.Method, observer)
	var result roundTripOutcome
	if err == nil {
		result = c.handleResponse(observer, response)
	}
	sent := writer.stop()
	if sent {
		<-writer.done // until then, run may set deadlines of the connection and call uploadSent
	}
	switch {
	case err == nil:
		result.connReusable = result.connReusable && sent
		result.outcome.Incomplete = !sent
		return result
	case sent:
		return c.failedResponse(observer, response, err)
	default:
		return roundTripOutcome{outcome: writer.incompleteOutcome(attempt, err)}
	}
}

// uploadSent is called when the last byte of a streamed request body was written, which began at sentAt. It starts the time
// limit of the response.
func (c *Client) uploadSent(attempt *Attempt, conn *endpointConn, sentAt time.Time) {
	attempt.requestWritten.Store(true)
	c.metrics.Attempts.Add(1)
	now := time.Now()
	attempt.uploadSentAt.Store(&now)
	if attempt.readerSetsLimit.Load() {
		conn.SetReadDeadline(socket.PastDeadline) // the deadline of the request has become known
	} else {
		attempt.setReadDeadline(conn, attempt.responseDeadline())
	}
	attempt.Observer.UploadSent(attempt, SentUpload{At: sentAt, Unacknowledged: conn.unacknowledged()})
}

// handleResponse returns the outcome of a round trip that got a response. If the response is streamed, it returns when
// the stream has ended.
func (c *Client) handleResponse(observer *attemptObserver, response http1.Response) roundTripOutcome {
	attempt, conn := observer.attempt, observer.conn
	outcome := Outcome{Result: statusResult(response.Head), LoadReport: loadReportFrom(response.Head, c.loadReportFields)}
	if outcome.Result != balance.OK {
		return roundTripOutcome{outcome: outcome, connReusable: !response.Streaming && conn.reusableAfter(response)}
	}
	lengthUnknown := response.Head.ContentLength < 0
	if lengthUnknown {
		c.metrics.UnknownLength.Count(observer.unknownLengthResult(response))
	}
	response.Head.Header.Del(LoadReportHeader)
	http1.RemoveHopHeaders(response.Head.Header)
	if !response.Streaming {
		length := newLengthRecord(attempt.Lengths, response.Head)
		length.observe(int64(len(response.Body)), 0, true)
		outcome.Response = bufferedResponse(response)
		return roundTripOutcome{outcome: outcome, connReusable: conn.reusableAfter(response)}
	}
	err := streamToClient(observer, response)
	if lengthUnknown && errors.Is(err, errResponseOverdue) {
		c.metrics.UnknownLength.EndedUndecided.Add(1)
	}
	outcome.Result = attempt.streamResult(err)
	outcome.Err = err
	return roundTripOutcome{outcome: outcome, connReusable: err == nil && conn.reusableAfter(response)}
}
