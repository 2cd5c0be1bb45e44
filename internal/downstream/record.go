package downstream

import (
	"cmp"
	"log/slog"
	"sync"
	"time"
)

// requestPhase is how far the current request of a connection has come.
type requestPhase string

// The phases of a request, in their order.
const (
	phaseNone       requestPhase = ""           // no request has reached the handler since the last response
	phaseValidating requestPhase = "validating" // its head was read
	phaseAwaiting   requestPhase = "awaiting"   // it was passed to the request handler
	phaseResponding requestPhase = "responding" // its response is being written
	phaseResponded  requestPhase = "responded"  // its response was handed to net/http completely
)

// closeReason is why this side decided to close a connection or to abort its request.
type closeReason string

// The reasons to close a connection while a request may be open on it.
const (
	reasonEvicted       closeReason = "evicted for a new connection"
	reasonNotAdmitted   closeReason = "no capacity for a new connection"
	reasonShutdownIdle  closeReason = "idle during the shutdown"
	reasonShutdownLimit closeReason = "end of the shutdown"
	// reasonDisconnectedBeforeSend: an attempt found it out before it was sent.
	reasonDisconnectedBeforeSend closeReason = "the client had left when the request was to be sent"
	// reasonContextEnded: net/http noticed it while the response was awaited.
	reasonContextEnded closeReason = "the request's context ended"
	reasonProcessEnds  closeReason = "the process ends"
	reasonStreamBroken closeReason = "the streamed response broke off"
)

// connRecord holds what explains the end of a connection. Any goroutine may call its methods.
type connRecord struct {
	mu               sync.Mutex
	phase            requestPhase
	traceID          string      // of the current request
	requestStartedAt time.Time   // when the current request reached the handler
	reason           closeReason // empty: net/http or the client closes
	cause            error       // of reason; may be nil
	readErr          error       // the first failed read since the current request began; later ones follow from the end
	writeErr         error       // the first failed write since then
}

// begin records that a request reached the handler.
func (r *connRecord) beginRequest(traceID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase = phaseValidating
	r.traceID = traceID
	r.requestStartedAt = time.Now()
	r.readErr, r.writeErr = nil, nil
}

// enter records that the current request entered a phase.
func (r *connRecord) setPhase(phase requestPhase) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase = phase
}

// explain records why this side is about to close the connection. The first reason stays.
func (r *connRecord) setReason(reason closeReason, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reason == "" {
		r.reason, r.cause = reason, cause
	}
}

// setReadError records a failed read.
func (r *connRecord) setReadError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readErr = cmp.Or(r.readErr, err)
}

// setWriteError records a failed write.
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

// logIfIncomplete logs the end of a connection whose current request has no complete response.
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
