package upstream

import (
	"errors"
	"io"
	"os"
	"sync/atomic"
	"time"

	"cindersaddle/internal/http1"
)

const (
	// maxLengthObservations is the largest number of unfinished responses that are read on at once.
	maxLengthObservations = 4
	// maxObservationTime is how long one of them is read on, at most.
	maxObservationTime = 20 * time.Second
	// maxObservationPause is how long its endpoint may pause.
	maxObservationPause = 3 * time.Second
)

// unfinishedResponse is a response of unknown length that failed because it was neither complete nor known to be long in time.
type unfinishedResponse struct {
	response http1.Response // with the bytes that have arrived
	record   lengthRecord
}

// newUnfinishedResponse returns the response of an attempt that was read until err, or nil if it is not an unfinished one.
func newUnfinishedResponse(attempt *Attempt, response http1.Response, err error) *unfinishedResponse {
	if response.Head == nil || !errors.Is(err, os.ErrDeadlineExceeded) || attempt.interrupted() {
		return nil
	}
	record := newLengthRecord(attempt.Lengths, response.Head)
	if record.done {
		return nil
	}
	return &unfinishedResponse{response: response, record: record}
}

// lengthObserver reads unfinished responses on, whose requests have ended, until their lengths are known. Without that, the
// history of a class whose responses all take too long would never learn that they are long. It is safe for concurrent use.
type lengthObserver struct{ running atomic.Int32 }

// start reads a response on and then calls closeConn. It returns false if enough responses are being read.
func (o *lengthObserver) start(conn *endpointConn, unfinished *unfinishedResponse, closeConn func()) bool {
	if o.running.Add(1) > maxLengthObservations {
		o.running.Add(-1)
		return false
	}
	go func() {
		defer o.running.Add(-1)
		defer closeConn()
		unfinished.readOn(conn)
	}()
	return true
}

// observationBufferBytes is the size of the buffer for bytes that are only counted.
const observationBufferBytes = 4 << 10

// readOn reads and discards the rest of the response until its length is known or it takes too long.
func (u *unfinishedResponse) readOn(conn *endpointConn) {
	received := int64(len(u.response.Body))
	u.response.Body = nil // so that it can be freed
	buffer := make([]byte, observationBufferBytes)
	end := time.Now().Add(maxObservationTime)
	for !u.record.done {
		conn.SetReadDeadline(earlier(end, time.Now().Add(maxObservationPause)))
		n, err := u.response.Head.Body.Read(buffer)
		received += int64(n)
		u.record.observe(received, u.response.AnnouncedBytes(), err == io.EOF)
		if err != nil {
			return
		}
	}
}
