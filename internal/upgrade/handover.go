package upgrade

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"cindersaddle/internal/config"
	"cindersaddle/internal/timing"
)

const (
	// handoverTimeout bounds a handover on both sides. It is short because a new process has only a few seconds to
	// become ready, and an unresponsive predecessor must not use up much of them.
	handoverTimeout = 700 * time.Millisecond
	// StateTimeout is how long the event loop of the predecessor may take to export its state.
	StateTimeout = 400 * time.Millisecond
	// socketRetryDelay is the pause after a failure to open the socket.
	socketRetryDelay = time.Second
)

// Process contains what this process shares with its successors, and a callback that reports how many processes run.
type Process struct {
	// Listener listens on the client address.
	Listener net.Listener
	// ExportState returns the state for a successor. It may be called from several goroutines at once.
	ExportState func() (*State, error)
	// CountChanged is called with the number of processes that share the resource limits, including this one, whenever
	// that number changes. Calls do not overlap, and the last call passes the current number.
	CountChanged func(processes int)
}

// Handover receives the state and the client listener of the predecessor, and sends those of this process to its
// successors.
type Handover struct {
	clientAddress  string // host:port at which this sidecar serves clients
	socket         unixSocket
	log            *slog.Logger
	processCounter processCounter

	predecessor     net.Conn // open while the predecessor runs; nil if there was none; set before Run
	lastSocketError string   // the last logged failure to open the socket; only Run uses it
}

// NewHandover returns the handover of the process that cfg configures. It returns nil if upgrades are not possible: if
// there is no directory for the socket, or no admin address that reports when the new process is ready.
func NewHandover(cfg *config.Config, log *slog.Logger) *Handover {
	if cfg.ScratchDir == "" || cfg.AdminListen == "" {
		return nil
	}
	return &Handover{clientAddress: cfg.Listen, socket: unixSocket(SocketPath(cfg.ScratchDir, cfg.Listen)), log: log}
}

// Run sends the state to successors until ctx is done or Retire was called, and monitors the predecessor.
func (h *Handover) Run(ctx context.Context, process Process) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	h.processCounter.setCountChanged(process.CountChanged)
	stopWatching := h.watchPredecessor(ctx, &tasks)
	defer stopWatching()
	for ctx.Err() == nil && !h.processCounter.isRetired() {
		listener, err := h.socket.open()
		if err != nil { // retry: the failure may be temporary, and the next upgrade may be days away
			h.logSocketError(err)
			timing.Sleep(ctx, socketRetryDelay)
			continue
		}
		h.acceptSuccessors(ctx, listener, &process, &tasks)
	}
}

// Retire stops handovers to further successors, because this process is about to end, and reports whether a successor
// is running. The process does not reopen the socket afterwards, even if the successor ends: by then the socket may
// belong to the successor of that successor; otherwise it belongs to no process. Retire returns false for a nil
// Handover. It may be called from any goroutine.
func (h *Handover) Retire() (hasSuccessor bool) {
	if h == nil {
		return false
	}
	return h.processCounter.retire()
}

// logSocketError logs why the socket could not be opened, unless the previous failure had the same reason.
func (h *Handover) logSocketError(err error) {
	if text := err.Error(); text != h.lastSocketError {
		h.lastSocketError = text
		h.log.Info("no upgrade can take over from this process", "error", err)
	}
}

// waitUntilClosed blocks until the peer closes the connection or ends, and then closes this side of it.
func waitUntilClosed(conn net.Conn) {
	var ignored [1]byte
	for {
		if _, err := conn.Read(ignored[:]); err != nil {
			conn.Close()
			return
		}
	}
}
