package downstream

import (
	"io"
	"time"

	"cindersaddle/internal/exchange"
	"cindersaddle/internal/http1"
	"cindersaddle/internal/memory"
)

// requestMemory is the memory of a request while it is read. The goroutine that serves the request owns it.
type requestMemory struct {
	reservation *memory.Reservation
	deadline    time.Time     // until when the request may wait for memory
	waited      time.Duration // how long it has waited so far
}

// newRequestMemory returns the memory of the current request of a connection, whose body has the declared length. remaining is how
// long the client waits for the response, and responseTime how long the response usually takes. It returns nil if there is no
// memory for the request.
func (c *Conn) newRequestMemory(remaining, responseTime time.Duration, declared int64) *requestMemory {
	required := &requestMemory{
		reservation: c.tracker.Memory.NewReservation(), deadline: c.memoryDeadline(remaining, responseTime),
	}
	kind := memory.Attempts
	if declared > http1.MaxBufferedBody {
		kind = memory.Uploads
	}
	if !required.reserve(kind, requestBytes) {
		required.reservation.Release()
		return nil
	}
	return required
}

// reserve reserves memory, and waits for it if necessary. It reports whether the memory was reserved.
func (m *requestMemory) reserve(kind memory.Kind, bytes int) bool {
	startedAt := time.Now()
	reserved := m.reservation.GrowBy(kind, bytes, m.deadline)
	m.waited += time.Since(startedAt)
	return reserved
}

// receivedAt returns when the last byte of a request that has just been read may have arrived: it may have waited unread while
// the request waited for memory.
func (m *requestMemory) receivedAt() time.Time { return time.Now().Add(-m.waited) }

// readBody reads a body of the declared length, or of unknown length if that is negative. If complete is false, the body is
// longer than http1.MaxBufferedBody and must be streamed; a part of at least one byte has been read. A long body does not wait
// for memory. Errors are of type *exchange.RequestError.
func (m *requestMemory) readBody(source io.Reader, declared int64) (body []byte, complete bool, err error) {
	declaredLong := declared > http1.MaxBufferedBody
	body = make([]byte, 0, bodyCapacity(0, declared))
	for {
		if len(body) == cap(body) {
			if len(body) > http1.MaxBufferedBody {
				return body, false, nil
			}
			grown := bodyCapacity(cap(body), declared)
			if declaredLong && !m.reservation.Grow(memory.Bodies, grown-cap(body)) {
				return body, false, nil
			}
			if !declaredLong && !m.reserve(memory.Bodies, grown-cap(body)) {
				return nil, false, errNoMemory
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, len(body) <= http1.MaxBufferedBody, nil
		}
		if err != nil {
			return nil, false, exchange.BodyError(err)
		}
	}
}

// bodyCapacity returns the next capacity of the buffer of a body: at first freeBodyBytes, then twice the current one, but no
// more than the declared length needs, or one byte more than a buffered body may have.
func bodyCapacity(current int, declared int64) int {
	limit := http1.MaxBufferedBody + 1
	if declared >= 0 && declared < int64(limit) {
		limit = int(declared) + 1 // one more, so that the end is read before the buffer is full
	}
	return min(max(freeBodyBytes, 2*current), limit)
}
