// Package upgrade hands the state and the clients' listener of one sidecar process to the process that replaces it.
//
// The two processes meet at a Unix socket in the scratch directory: the successor requests the state, and as long as
// the connection stays open each knows that the other runs, and keeps to its part of the descriptors and the memory.
// The handover is best effort: without a predecessor, or with one that sends nonsense, a process starts without state.
//
// A Handover belongs to one process and is safe for concurrent use. It starts no goroutines before Run, which uses one
// for the predecessor and one for each successor, and returns when all of them have ended.
package upgrade

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
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

// Handover joins this process with its predecessor and its successors.
type Handover struct {
	scratchDir string
	socketName string
	listen     string // the clients' address
	log        *slog.Logger

	listener            net.Listener        // at the clients' address: the predecessor's, after Attach this process's
	processCountChanged func(processes int) // called with the number of processes, this one included

	socketError string // why the socket could not be opened last; Run owns it

	retired atomic.Bool // this process ends: the socket is for others now; set under mu

	mu          sync.Mutex // guards the fields below
	predecessor net.Conn   // nil: none runs
	successors  int        // number of processes that took over from this one and run
}

// NewHandover returns nil where there is no directory for the socket, or where no second address would report that an
// upgrade is ready.
func NewHandover(cfg *config.Config, log *slog.Logger) *Handover {
	if cfg.ScratchDir == "" || cfg.AdminListen == "" {
		return nil
	}
	hash := fnv.New64a()
	io.WriteString(hash, cfg.Listen)
	return &Handover{
		scratchDir:          cfg.ScratchDir,
		socketName:          fmt.Sprintf(socketNameFormat, hash.Sum64()),
		listen:              cfg.Listen,
		log:                 log,
		processCountChanged: func(int) {},
	}
}

// Attach sets the listener that is shared with successors, and the function that is called with the number of
// processes whenever that changes. It must be called before Run.
func (h *Handover) Attach(listener net.Listener, processCountChanged func(processes int)) {
	h.listener = listener
	h.processCountChanged = processCountChanged
}

// PredecessorListener returns the listener that the predecessor shares, or nil. It must be called after RequestState and
// before Attach.
func (h *Handover) PredecessorListener() net.Listener { return h.listener }

// SocketPath returns the path at which a successor finds this process.
func (h *Handover) SocketPath() string { return filepath.Join(h.scratchDir, h.socketName) }

// Run sends the state to successors until ctx ends or this process has retired, and watches the predecessor.
// exportState may be called from several goroutines at once.
func (h *Handover) Run(ctx context.Context, exportState func() (*State, error)) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	stopWatching := h.watchPredecessor(ctx, &tasks)
	defer stopWatching()
	for ctx.Err() == nil && !h.retired.Load() {
		listener, err := h.openSocket()
		if err != nil { // it may pass: the next upgrade can be days away
			h.logSocketError(err)
			timing.Sleep(ctx, socketRetryDelay)
			continue
		}
		h.acceptSuccessors(ctx, listener, exportState, &tasks)
	}
}

// logSocketError logs why the socket could not be opened, once for each reason. Only Run calls it.
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
