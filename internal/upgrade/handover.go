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
	// predecessorTimeout bounds a handover on both sides. A new process has seconds to become ready: a predecessor
	// that is silent costs it little of them.
	predecessorTimeout = 700 * time.Millisecond
	// StateTimeout bounds the time in which the event loop of the predecessor exports its state.
	StateTimeout = 400 * time.Millisecond
	// socketRetryDelay is the pause after the socket could not be opened.
	socketRetryDelay = time.Second
)

// Process is what a process shares with its successors, and how it learns of them.
type Process struct {
	// Listener listens at the clients' address.
	Listener net.Listener
	// ExportState returns the state for a successor. It may be called from several goroutines at once.
	ExportState func() (*State, error)
	// CountChanged is called with the number of processes that share the limits, this one included, whenever that
	// changes. Calls do not overlap, and the last call has the last number.
	CountChanged func(processes int)
}

// Handover joins this process with its predecessor and its successors.
type Handover struct {
	listen    string // the clients' address
	socket    unixSocket
	log       *slog.Logger
	processes processCount

	predecessor net.Conn // open while the predecessor runs; nil: there was none. Set before Run
	socketError string   // why the socket could not be opened last; Run owns it
}

// NewHandover returns nil where there is no directory for the socket, or where no admin address would report that an
// upgrade is ready.
func NewHandover(cfg *config.Config, log *slog.Logger) *Handover {
	if cfg.ScratchDir == "" || cfg.AdminListen == "" {
		return nil
	}
	return &Handover{listen: cfg.Listen, socket: unixSocket(SocketPath(cfg.ScratchDir, cfg.Listen)), log: log}
}

// Run sends the state to successors until ctx is done or this process has retired, and watches the predecessor.
func (h *Handover) Run(ctx context.Context, process Process) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	h.processes.onChange(process.CountChanged)
	stopWatching := h.watchPredecessor(ctx, &tasks)
	defer stopWatching()
	for ctx.Err() == nil && !h.processes.isRetired() {
		listener, err := h.socket.open()
		if err != nil { // it may pass: the next upgrade can be days away
			h.logSocketError(err)
			timing.Sleep(ctx, socketRetryDelay)
			continue
		}
		h.acceptSuccessors(ctx, listener, &process, &tasks)
	}
}

// Retire marks the end of this process and reports whether another one has taken over; from then on none can. When a
// successor dies later, the socket is left to the successor's own successor, or to nobody. A nil Handover has no
// successor. Any goroutine may call it.
func (h *Handover) Retire() (succeeded bool) {
	if h == nil {
		return false
	}
	return h.processes.retire()
}

// logSocketError logs why the socket could not be opened, once for each reason.
func (h *Handover) logSocketError(err error) {
	if text := err.Error(); text != h.socketError {
		h.socketError = text
		h.log.Info("no upgrade can take over from this process", "error", err)
	}
}

// waitClosed returns when the other side of a connection has closed it or has ended.
func waitClosed(conn net.Conn) {
	var ignored [1]byte
	for {
		if _, err := conn.Read(ignored[:]); err != nil {
			conn.Close()
			return
		}
	}
}
