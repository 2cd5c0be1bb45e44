package downstream

import (
	"context"
	"net/http"
	"time"

	"cindersaddle/internal/timing"
)

const (
	// drainPollInterval is how often a shutdown examines whether connections are open.
	drainPollInterval = 10 * time.Millisecond
	// streamDrainTimeout is how long a shutdown waits for long responses; one that takes longer is considered stuck.
	streamDrainTimeout = time.Minute
)

// Shutdown accepts connections for another acceptFor, and then those that wait in the listen queue, responds to all
// requests that have arrived, and closes the server. When ctx ends, it closes the connections without a complete
// request, and waits for the responses that are still being written. It returns the error of http.Server.Close.
func (s *Server) Shutdown(ctx context.Context, server *http.Server, listener *Listener, acceptFor time.Duration) error {
	timing.Sleep(ctx, acceptFor)
	listener.Drain(ctx)
	return s.closeIdleUntilEmpty(ctx, server)
}

// ShutdownAfterUpgrade leaves new connections to the successor, and otherwise does what Shutdown does. It guards against
// requests that are lost because their connection is closed while they are on their way, which clients see as a reset:
// until ShutdownTimes.LateAfter it closes none, and each connection ends with its next response.
func (s *Server) ShutdownAfterUpgrade(ctx context.Context, server *http.Server, listener *Listener) error {
	listener.ShareQueue()
	listener.Drain(ctx)
	early, cancel := context.WithDeadline(ctx, s.state.Shutdown.Load().LateAfter)
	defer cancel()
	s.tracker.waitUntilEmpty(early)
	return s.closeIdleUntilEmpty(ctx, server)
}

// closeIdleUntilEmpty closes idle connections until no connection is open. It guards against the loss of a request that
// http.Server.Shutdown would cause: that considers a connection idle of which it has read a request whose head it has not
// parsed, while ConnTracker counts the bytes itself.
func (s *Server) closeIdleUntilEmpty(ctx context.Context, server *http.Server) error {
	for ctx.Err() == nil && !s.tracker.empty() {
		s.tracker.closeIdleConns()
		timing.Sleep(ctx, drainPollInterval)
	}
	return s.drainStreams(server)
}

// drainStreams waits for the requests that are still open after the limit of the shutdown, which are those with long
// responses. Closing their connections would break these off; it does that after streamDrainTimeout only.
func (s *Server) drainStreams(server *http.Server) error {
	s.tracker.closeConnsWithoutRequest()
	ctx, cancel := context.WithTimeout(context.Background(), streamDrainTimeout)
	defer cancel()
	s.tracker.waitUntilEmpty(ctx)
	return server.Close()
}
