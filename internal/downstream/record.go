package downstream

import (
	"cmp"
	"log/slog"
	"sync"
	"time"
)

// requestPhase is the progress of the current request of a connection.
type requestPhase string

// The phases of a request, in their order.
const (
	phaseNone       requestPhase = ""           // no request has reached the HTTP handler
	phaseValidating requestPhase = "validating" // the head of the request has been read
	phaseAwaiting   requestPhase = "awaiting"   // the request was passed to the RequestHandler
	phaseResponding requestPhase = "responding" // the response is being written
	phaseResponded  requestPhase = "responded"  // the complete response was passed to net/http
)

// closeReason is why the sidecar closes a connection or aborts its request.
type closeReason string

// The reasons to close a connection on which a request may be open.
const (
	reasonEvicted       closeReason = "evicted for a new connection"
	reasonStalled       closeReason = "stalled while memory was short"
	reasonNotAdmitted   closeReason = "no capacity for a new connection"
	reasonShutdownIdle  closeReason = "idle during the shutdown"
	reasonShutdownLimit closeReason = "end of the shutdown"
	// reasonDisconnectedBeforeSend means that an attempt found the client disconnected before it sent the request.
	reasonDisconnectedBeforeSend closeReason = "the client had left when the request was to be sent"
	// reasonContextEnded means that net/http found the client disconnected while the request awaited its response.
	reasonContextEnded closeReason = "the request's context ended"
	reasonProcessEnds  closeReason = "the process ends"
	reasonStreamBroken closeReason = "the streamed response broke off"
	reasonHeadRefused  closeReason = "the head was refused"
)

// connRecord records how a connection and its current request ended, for the log. It is safe for concurrent use.
type connRecord struct {
	mu               sync.Mutex
	phase            requestPhase
	traceID          string      // of the current request
	requestStartedAt time.Time   // when the current request reached the HTTP handler
	reason           closeReason // empty if net/http or the client closes the connection
	cause            error       // the cause of reason; may be nil
	readErr          error       // first read error since requestStartedAt; later ones only result from it
	writeErr         error       // first write error since requestStartedAt
}

// beginRequest records that a request reached the HTTP handler, and clears the errors of the previous request.
func (r *connRecord) beginRequest(traceID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase = phaseValidating
	r.traceID = traceID
	r.requestStartedAt = time.Now()
	r.readErr, r.writeErr = nil, nil
}

// setPhase records the phase of the current request.
func (r *connRecord) setPhase(phase requestPhase) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase = phase
}

// setReason records why the sidecar is about to close the connection. Only the first call has an effect.
func (r *connRecord) setReason(reason closeReason, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reason == "" {
		r.reason, r.cause = reason, cause
	}
}

// setReadError records the error of a read, unless one is already recorded.
func (r *connRecord) setReadError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readErr = cmp.Or(r.readErr, err)
}

// setWriteError records the error of a write, unless one is already recorded.
func (r *connRecord) setWriteError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeErr = cmp.Or(r.writeErr, err)
}

// responseIncomplete reports whether the current request has no complete response. The caller holds mu.
func (r *connRecord) responseIncomplete() bool {
	switch r.phase {
	case phaseNone:
		return false
	case phaseResponded:
		return r.writeErr != nil
	}
	return true
}

// logIfIncomplete logs the close of the connection if the current request has no complete response.
func (r *connRecord) logIfIncomplete(log *slog.Logger, client string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.responseIncomplete() {
		return
	}
	log.Info("connection closed without a complete response",
		"request", r.traceID, "client", client, "phase", r.phase, "after", time.Since(r.requestStartedAt),
		"reason", r.reason, "cause", r.cause, "read_error", r.readErr, "write_error", r.writeErr)
}
