package upstream

import (
	"context"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/http1"
	"cindersaddle/internal/socket"
)

// exchangeEnd is how an exchange of a request and a response ended.
type exchangeEnd struct {
	ending   Ending
	reusable bool // the connection may carry another request
}

// failedExchange is the end of an exchange without a complete response. Its connection must be closed.
func failedExchange(result balance.Result, err error) exchangeEnd {
	return exchangeEnd{ending: Ending{Result: result, Err: err}}
}

// interruptible runs an exchange until a deadline. The end of ctx interrupts it: everything that reads from or writes to the
// connection returns with an error, and the connection is not used again.
func interruptible(ctx context.Context, conn *endpointConn, deadline time.Time, exchange func() exchangeEnd) exchangeEnd {
	conn.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(socket.PastDeadline) })
	end := exchange()
	interrupted := !stop()
	end.reusable = end.reusable && !interrupted
	return end
}

// exchange writes the request of an attempt and reads its response.
func (c *Client) exchange(attempt *Attempt, conn *endpointConn) exchangeEnd {
	if attempt.Message.Upload != nil {
		return c.exchangeUpload(attempt, conn)
	}
	return c.exchangeBuffered(attempt, conn)
}

// exchangeBuffered exchanges a request whose body is in memory.
func (c *Client) exchangeBuffered(attempt *Attempt, conn *endpointConn) exchangeEnd {
	request, err := attempt.Message.Encode(attempt.Deadline)
	if err != nil {
		return failedExchange(balance.NotAttempted, err)
	}
	// Guards against a retry of a request that was executed: with one write, the number of bytes that the kernel accepted
	// shows whether the last byte was sent.
	if written, err := conn.Write(request); written < len(request) {
		return failedExchange(attempt.writeResult(err), err)
	}
	c.metrics.Attempts.Add(1)
	response, err := conn.reader.Next(attempt.Message.Method, deadlineObserver{attempt, conn})
	if err != nil {
		return failedExchange(attempt.readResult(err), err)
	}
	return c.conclude(attempt, conn, response)
}

// exchangeUpload writes a request while its body is still coming from the client. The response may come meanwhile.
func (c *Client) exchangeUpload(attempt *Attempt, conn *endpointConn) exchangeEnd {
	upload := newUploadWriter(attempt.Message.Upload, conn)
	request := attempt.Message.NewRequest(attempt.TimeAfterUpload, upload.source, upload.source.Length)
	go upload.run(request, func() { c.uploadSent(attempt, conn) })

	response, err := conn.reader.Next(attempt.Message.Method, uploadObserver{attempt: attempt})
	var end exchangeEnd
	if err == nil {
		end = c.conclude(attempt, conn, response)
	}
	sent := upload.stop()
	if sent {
		<-upload.done // it still sets deadlines of the connection and reports that the last byte was written
	}
	switch {
	case err == nil:
		end.reusable = end.reusable && sent
		return end
	case sent:
		return failedExchange(attempt.readResult(err), err)
	default:
		return exchangeEnd{ending: upload.incompleteResult(attempt, err)}
	}
}

// uploadSent reports that the last byte of a streamed request was written. From now on the response is due.
func (c *Client) uploadSent(attempt *Attempt, conn *endpointConn) {
	c.metrics.Attempts.Add(1)
	due := time.Now().Add(attempt.TimeAfterUpload)
	attempt.setReadDeadline(conn, earlier(attempt.Deadline, due))
	attempt.Observer.UploadSent(attempt)
}

// conclude returns the end of an exchange with a response. A streamed response has gone to the client when it returns.
func (c *Client) conclude(attempt *Attempt, conn *endpointConn, response http1.Response) exchangeEnd {
	ending := Ending{Result: statusResult(response.Head), LoadReport: loadReportFrom(response.Head, c.loadFields)}
	if ending.Result != balance.OK {
		return exchangeEnd{ending, !response.Streaming && conn.reusableAfter(response)}
	}
	response.Head.Header.Del(LoadReportHeader)
	http1.RemoveHopHeaders(response.Head.Header)
	if !response.Streaming {
		ending.Response = forClient(response)
		return exchangeEnd{ending, conn.reusableAfter(response)}
	}
	err := stream(attempt, conn, response)
	ending.Result = attempt.streamResult(err)
	ending.Err = err
	return exchangeEnd{ending, err == nil && conn.reusableAfter(response)}
}
