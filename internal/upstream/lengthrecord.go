package upstream

import (
	"net/http"
	"time"

	"cindersaddle/internal/exchange"
	"cindersaddle/internal/http1"
)

// lengthRecord records the length of one response in the history of its class, if the endpoint has not declared it. It is not safe
// for concurrent use.
type lengthRecord struct {
	history *exchange.LengthHistory
	done    bool // the length is recorded or was declared
}

// newLengthRecord returns the record of a response of which nothing has been observed.
func newLengthRecord(history *exchange.LengthHistory, head *http.Response) lengthRecord {
	return lengthRecord{history: history, done: head.StatusCode != http.StatusOK || head.ContentLength >= 0}
}

// observe records the length if it is known: the body is complete, or the bytes that have arrived and those that are announced are
// more than a short response has.
func (r *lengthRecord) observe(received, announced int64, complete bool) {
	long := http1.IsLong(received, announced)
	if r.done || !long && !complete {
		return
	}
	r.done = true
	if long {
		received = http1.MaxBufferedBody + 1
	}
	r.history.Record(received, time.Now())
}
