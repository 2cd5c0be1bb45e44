package sidecar

import (
	"log/slog"
	"net"
	"sync"
	"testing"

	"cindersaddle/internal/config"
)

// readBlocker lets the sidecar read once from one client and blocks the second read, so that no read reports that the
// client disconnected.
type readBlocker struct {
	mu         sync.Mutex // protects clientAddr and readCounts
	clientAddr string
	readCounts map[string]int
	blocked    chan bool // closed when the second read from clientAddr begins
	unblocked  chan bool // closed when the second read may proceed
	unblock    func()    // closes unblocked; may be called more than once
}

// newReadBlocker returns a blocker without a client; dialBlocked sets the client.
func newReadBlocker() *readBlocker {
	blocker := &readBlocker{readCounts: map[string]int{}, blocked: make(chan bool), unblocked: make(chan bool)}
	blocker.unblock = sync.OnceFunc(func() { close(blocker.unblocked) })
	return blocker
}

// beforeRead is the read hook that the sidecar calls before each read from a client.
func (blocker *readBlocker) beforeRead(from net.Addr) {
	blocker.mu.Lock()
	blocker.readCounts[from.String()]++
	second := from.String() == blocker.clientAddr && blocker.readCounts[blocker.clientAddr] == 2
	blocker.mu.Unlock()
	if second {
		close(blocker.blocked)
		<-blocker.unblocked
	}
}

// dialBlocked opens a client connection whose second read is blocked.
func (blocker *readBlocker) dialBlocked(sidecar *testSidecar) net.Conn {
	conn := sidecar.dial()
	blocker.mu.Lock()
	defer blocker.mu.Unlock()
	blocker.clientAddr = conn.LocalAddr().String()
	return conn
}

// startWithReadBlocker starts a sidecar with an admin address and a read blocker, for a client that dialBlocked
// connects later.
func startWithReadBlocker(t *testing.T, cfg *config.Config, logHandler slog.Handler) (*testSidecar, *readBlocker) {
	t.Helper()
	blocker := newReadBlocker()
	sidecar := startSidecarWithHooks(t, withAdmin(cfg), logHandler, readHooks{before: blocker.beforeRead})
	t.Cleanup(blocker.unblock)
	return sidecar, blocker
}

// startWithBlockedClient starts a sidecar with an admin address, and opens a client connection from which the sidecar
// reads only once. The caller must send a request soon, because the sidecar closes connections without one.
func startWithBlockedClient(
	t *testing.T, cfg *config.Config, logHandler slog.Handler,
) (*testSidecar, *readBlocker, net.Conn) {
	t.Helper()
	sidecar, blocker := startWithReadBlocker(t, cfg, logHandler)
	return sidecar, blocker, blocker.dialBlocked(sidecar)
}
