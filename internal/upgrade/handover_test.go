package upgrade

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cindersaddle/internal/config"
	"cindersaddle/internal/downstream"
	"cindersaddle/internal/membership"
	"cindersaddle/internal/sidecartest"
	"cindersaddle/internal/upstream"
)

// TestSuccessorThatDiesIsReplaced checks that a process whose successor dies is counted as alone and can be found by the
// next successor. The path is longer than the address of a Unix socket.
func TestSuccessorThatDiesIsReplaced(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("long", 40))
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	cfg := &config.Config{Listen: "127.0.0.1:1", AdminListen: "x", ScratchDir: dir}
	handover := NewHandover(cfg, slog.New(slog.DiscardHandler))
	counts := make(chan int, 10)
	process := newProcess(cfg, nil)
	process.CountChanged = func(processes int) { counts <- processes }
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan bool)
	go func() {
		handover.Run(ctx, process)
		close(done)
	}()
	for range 2 {
		successor := NewHandover(cfg, slog.New(slog.DiscardHandler))
		requestState(t, successor)
		if got := sidecartest.Next(t, counts); got != 2 || !hasSuccessor(handover) {
			t.Errorf("%d processes, has a successor: %v", got, hasSuccessor(handover))
		}
		successor.predecessor.Close()
		if got := sidecartest.Next(t, counts); got != 1 || hasSuccessor(handover) {
			t.Errorf("after the successor's end: %d processes, has a successor: %v", got, hasSuccessor(handover))
		}
	}
	cancel()
	sidecartest.Next(t, done)
}

// TestSocketIsOpenedWhenItCanBe checks that a successor can take over although the socket could not be opened at first.
func TestSocketIsOpenedWhenItCanBe(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "missing")
	cfg := &config.Config{Listen: "127.0.0.1:1", AdminListen: "x", ScratchDir: dir}
	handover := NewHandover(cfg, slog.New(slog.DiscardHandler))
	done := make(chan bool)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer close(done)
		handover.Run(ctx, newProcess(cfg, nil))
	}()
	time.Sleep(50 * time.Millisecond) // the first attempt fails
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	successor := NewHandover(cfg, slog.New(slog.DiscardHandler))
	requestState(t, successor)
	successor.predecessor.Close()
	cancel()
	sidecartest.Next(t, done)
}

// TestSuccessorAcceptsFromSharedQueue checks that both processes accept from one queue: the successor accepts the
// connections that wait in it when the predecessor stops.
func TestSuccessorAcceptsFromSharedQueue(t *testing.T) {
	listener := sidecartest.Listen(t)
	cfg := &config.Config{Listen: listener.Addr().String(), AdminListen: "x", ScratchDir: t.TempDir()}
	handover := NewHandover(cfg, slog.New(slog.DiscardHandler))
	runUntilCleanup(t, handover, newProcess(cfg, listener))
	successor := NewHandover(cfg, handover.log)
	shared := requestState(t, successor)
	if shared == nil {
		t.Fatal("no listener came with the state")
	}
	defer shared.Close()
	defer successor.predecessor.Close()
	waiting, err := net.Dial("tcp", cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer waiting.Close()
	listener.Close()
	late, err := net.Dial("tcp", cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer late.Close()
	for _, c := range []net.Conn{waiting, late} {
		got, err := shared.Accept()
		if err != nil || got.RemoteAddr().String() != c.LocalAddr().String() {
			t.Errorf("accepted %v, error %v", got, err)
		}
	}
}

// TestRetiredProcessLeavesSocket checks that a retired process does not take the socket back when its successor ends: it
// may belong to another process by then.
func TestRetiredProcessLeavesSocket(t *testing.T) {
	cfg := &config.Config{Listen: "127.0.0.1:1", AdminListen: "x", ScratchDir: t.TempDir()}
	handover := NewHandover(cfg, slog.New(slog.DiscardHandler))
	done := make(chan bool)
	go func() {
		handover.Run(t.Context(), newProcess(cfg, nil))
		close(done)
	}()
	successor := NewHandover(cfg, slog.New(slog.DiscardHandler))
	requestState(t, successor)
	handover.Retire()
	successor.predecessor.Close()
	sidecartest.Next(t, done)
	if _, _, err := NewHandover(cfg, handover.log).RequestState(); err == nil {
		t.Error("the retired process took the socket back")
	}
}

// TestTwoSuccessorsAtOnce checks that all processes are counted when two take over at once, and that the predecessor has a
// successor while either runs.
func TestTwoSuccessorsAtOnce(t *testing.T) {
	cfg := &config.Config{Listen: "127.0.0.1:1", AdminListen: "x", ScratchDir: t.TempDir()}
	handover := NewHandover(cfg, slog.New(slog.DiscardHandler))
	counts := make(chan int, 10)
	process := newProcess(cfg, nil)
	process.CountChanged = func(processes int) { counts <- processes }
	runUntilCleanup(t, handover, process)
	successors := make([]*Handover, 2)
	for i := range successors {
		successors[i] = NewHandover(cfg, handover.log)
		requestState(t, successors[i])
		if got := sidecartest.Next(t, counts); got != i+2 {
			t.Errorf("with successor %d there are %d processes", i+1, got)
		}
	}
	successors[0].predecessor.Close()
	if got := sidecartest.Next(t, counts); got != 2 || !handover.Retire() {
		t.Errorf("after the end of one successor there are %d processes", got)
	}
	successors[1].predecessor.Close()
}

// TestRetireDuringHandover checks a process that retires while it hands over: either the successor gets its listener,
// which is then not stopped, or it gets nothing and has to listen by itself.
func TestRetireDuringHandover(t *testing.T) {
	for name, retireFirst := range map[string]bool{"handover first": false, "retire first": true} {
		t.Run(name, func(t *testing.T) {
			listener := sidecartest.Listen(t)
			cfg := &config.Config{Listen: listener.Addr().String(), AdminListen: "x", ScratchDir: t.TempDir()}
			handover := NewHandover(cfg, slog.New(slog.DiscardHandler))
			successor := NewHandover(cfg, handover.log)
			outcome := retireDuringHandover(t, handover, successor, newProcess(cfg, listener), retireFirst)
			if retireFirst != (outcome.err != nil) || outcome.succeeded != (outcome.err == nil) {
				t.Fatalf("the successor's request: error %v; the process has a successor: %v", outcome.err, outcome.succeeded)
			}
			if outcome.err != nil {
				return
			}
			defer successor.predecessor.Close()
			defer outcome.listener.Close()
			drain(t, listener, outcome.succeeded)
			conn, err := net.Dial("tcp", cfg.Listen)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			got, err := outcome.listener.Accept()
			if err != nil || got.RemoteAddr().String() != conn.LocalAddr().String() {
				t.Errorf("the successor accepted %v, error %v", got, err)
			}
		})
	}
}

// retirement is the outcome of a process that retires while a successor requests its state.
type retirement struct {
	succeeded bool         // what Retire returned
	listener  net.Listener // what the successor received
	err       error        // of the request
}

// retireDuringHandover retires a process before the successor requests its state, or while it exports that.
func retireDuringHandover(t *testing.T, handover, successor *Handover, process Process, retireFirst bool) (outcome retirement) {
	t.Helper()
	exporting, release := make(chan bool), make(chan bool)
	exportState := process.ExportState
	process.ExportState = func() (*State, error) {
		exporting <- true
		<-release
		return exportState()
	}
	runUntilCleanup(t, handover, process)
	sidecartest.WaitFor(t, "the socket is there", func() bool { _, err := os.Stat(string(handover.socket)); return err == nil })
	if retireFirst {
		outcome.succeeded = handover.Retire()
	}
	requested := make(chan bool)
	go func() {
		_, outcome.listener, outcome.err = successor.RequestState()
		close(requested)
	}()
	if !retireFirst {
		sidecartest.Next(t, exporting)
		outcome.succeeded = handover.Retire()
		close(release)
	}
	sidecartest.Next(t, requested)
	return outcome
}

// drain drains a listener as the sidecar does after Retire, and returns when it accepts no more.
func drain(t *testing.T, listener net.Listener, shared bool) {
	t.Helper()
	tracker := downstream.NewConnTracker(10)
	clientListener := downstream.NewListener(listener, tracker, upstream.NewPool(upstream.PoolConfig{ConnectTimeout: time.Second, IdleTimeout: time.Second, MaxConns: 38}))
	if shared {
		clientListener.ShareQueue()
	}
	go clientListener.Drain(t.Context())
	for {
		if _, err := clientListener.Accept(); err != nil {
			return
		}
	}
}

// TestForeignStateIsRejected checks that a state for another address, of another version or with an invalid list is an
// error.
func TestForeignStateIsRejected(t *testing.T) {
	for _, state := range []State{
		{Version: StateVersion, Listen: "127.0.0.1:2"}, {Version: StateVersion + 1, Listen: "127.0.0.1:1"},
		{Version: StateVersion, Listen: "127.0.0.1:1",
			List: membership.EndpointList{Endpoints: []membership.Endpoint{{ID: "s", Phase: "?"}}}},
	} {
		cfg := &config.Config{Listen: "127.0.0.1:1", AdminListen: "x", ScratchDir: t.TempDir()}
		handover := NewHandover(cfg, slog.New(slog.DiscardHandler))
		process := newProcess(cfg, nil)
		process.ExportState = func() (*State, error) { return &state, nil }
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan bool)
		go func() { handover.Run(ctx, process); close(done) }()
		successor := NewHandover(cfg, slog.New(slog.DiscardHandler))
		var err error
		sidecartest.WaitFor(t, "the socket is there", func() bool {
			_, _, err = successor.RequestState()
			return !errors.Is(err, os.ErrNotExist)
		})
		if err == nil {
			t.Errorf("no error for %+v", state)
		}
		cancel()
		sidecartest.Next(t, done)
	}
}

// requestState requests the state of the predecessor until it comes, and returns the listener that comes with it.
func requestState(t *testing.T, successor *Handover) (shared net.Listener) {
	t.Helper()
	sidecartest.WaitFor(t, "the socket is there", func() bool {
		var err error
		_, shared, err = successor.RequestState()
		return err == nil
	})
	return shared
}

// newProcess returns a process that shares a listener, or none if that is nil, and a state without endpoints.
func newProcess(cfg *config.Config, listener net.Listener) Process {
	return Process{
		Listener:     listener,
		ExportState:  func() (*State, error) { return &State{Version: StateVersion, Listen: cfg.Listen}, nil },
		CountChanged: func(int) {},
	}
}

// hasSuccessor reports whether another process has taken over and runs.
func hasSuccessor(handover *Handover) bool {
	handover.processCounter.mu.Lock()
	defer handover.processCounter.mu.Unlock()
	return handover.processCounter.runningSuccessors > 0
}

// runUntilCleanup runs a handover until the end of the test, and waits for its end before the directory of the socket is removed:
// it may be opening the socket again.
func runUntilCleanup(t *testing.T, handover *Handover, process Process) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() {
		defer close(done)
		handover.Run(ctx, process)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}
