package downstream

import (
	"context"
	"net/http"
	"time"

	"cindersaddle/internal/timing"
)

const (
	// drainPollInterval is the time between two checks for open connections during a shutdown.
	drainPollInterval = 10 * time.Millisecond
	// streamDrainTimeout is how long a shutdown waits for streamed responses after its time limit. A response that
	// takes longer is considered stuck.
	streamDrainTimeout = time.Minute
)

// Shutdown keeps accepting connections for acceptFor, accepts those in the listen queue, and waits until all
// connections are closed, so that every request that has arrived gets a response. Then it closes the server. When ctx
// ends, it closes the connections without a complete request and waits only for the responses that are still being
// written. It returns the error of http.Server.Close.
func (s *Server) Shutdown(ctx context.Context, server *http.Server, listener *Listener, acceptFor time.Duration) error {
	timing.Sleep(ctx, acceptFor)
	listener.Drain(ctx)
	return s.closeIdleUntilEmpty(ctx, server)
}

// ShutdownAfterUpgrade is like Shutdown, except that it leaves new connections to the successor and closes no idle
// connection before ShutdownTimes.LateAfter; until then, connections are closed only after their next response. If an
// idle connection were closed while a request is on its way to it, the request would be lost and its client would see a
// reset connection.
func (s *Server) ShutdownAfterUpgrade(ctx context.Context, server *http.Server, listener *Listener) error {
	listener.ShareQueue()
	listener.Drain(ctx)
	beforeLate, cancel := context.WithDeadline(ctx, s.state.Shutdown.Load().LateAfter)
	defer cancel()
	s.tracker.waitUntilEmpty(beforeLate)
	return s.closeIdleUntilEmpty(ctx, server)
}

// closeIdleUntilEmpty closes idle connections until no connection is open or ctx ends, and then closes the server; see
// drainStreams. It does not use http.Server.Shutdown, which considers a connection idle until it has parsed the head of
// the next request, and could therefore close a connection from which it has already read that request. ConnTracker
// takes the bytes that were read into account.
func (s *Server) closeIdleUntilEmpty(ctx context.Context, server *http.Server) error {
	for ctx.Err() == nil && !s.tracker.empty() {
		s.tracker.closeIdleConns()
		timing.Sleep(ctx, drainPollInterval)
	}
	return s.drainStreams(server)
}

// drainStreams closes the connections without a complete request, waits until the remaining connections are closed, and
// closes the server. The requests that are still open after the shutdown's time limit are those with streamed
// responses; they are cut off only after streamDrainTimeout.
func (s *Server) drainStreams(server *http.Server) error {
	s.tracker.closeConnsWithoutRequest()
	ctx, cancel := context.WithTimeout(context.Background(), streamDrainTimeout)
	defer cancel()
	s.tracker.waitUntilEmpty(ctx)
	return server.Close()
}
