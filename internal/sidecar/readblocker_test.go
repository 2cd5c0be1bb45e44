package sidecar

import (
	"log/slog"
	"net"
	"sync"
	"testing"

	"cindersaddle/internal/config"
)

// readBlocker blocks the reads from one client after the first one, so that no read reports its disconnect.
type readBlocker struct {
	mu         sync.Mutex
	clientAddr string
	reads      map[string]int
	blocked    chan bool // closed when the read after the first has begun
	unblocked  chan bool // closed when reading may go on
	unblock    func()    // closes unblocked, once
}

// newReadBlocker returns a blocker for a client that is dialled later.
func newReadBlocker() *readBlocker {
	blocker := &readBlocker{reads: map[string]int{}, blocked: make(chan bool), unblocked: make(chan bool)}
	blocker.unblock = sync.OnceFunc(func() { close(blocker.unblocked) })
	return blocker
}

// beforeRead is called ahead of each read from a client.
func (blocker *readBlocker) beforeRead(from net.Addr) {
	blocker.mu.Lock()
	blocker.reads[from.String()]++
	second := from.String() == blocker.clientAddr && blocker.reads[blocker.clientAddr] == 2
	blocker.mu.Unlock()
	if second {
		close(blocker.blocked)
		<-blocker.unblocked
	}
}

// dialBlocked connects the client whose reads are blocked.
func (blocker *readBlocker) dialBlocked(sidecar *testSidecar) net.Conn {
	conn := sidecar.dial()
	blocker.mu.Lock()
	defer blocker.mu.Unlock()
	blocker.clientAddr = conn.LocalAddr().String()
	return conn
}

// startWithReadBlocker starts a sidecar with an admin address, and a blocker for a client that is dialled later.
func startWithReadBlocker(t *testing.T, cfg *config.Config, log slog.Handler) (*testSidecar, *readBlocker) {
	t.Helper()
	blocker := newReadBlocker()
	sidecar := startSidecarWith(t, withAdmin(cfg), log, readHooks{before: blocker.beforeRead})
	t.Cleanup(blocker.unblock)
	return sidecar, blocker
}

// startWithBlockedClient starts a sidecar with an admin address, and a client connection from which it reads only once. The
// request must follow soon: a connection without one is closed.
func startWithBlockedClient(t *testing.T, cfg *config.Config, log slog.Handler) (*testSidecar, *readBlocker, net.Conn) {
	t.Helper()
	sidecar, blocker := startWithReadBlocker(t, cfg, log)
	return sidecar, blocker, blocker.dialBlocked(sidecar)
}
