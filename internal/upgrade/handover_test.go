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

// TestSuccessorThatDiesIsReplaced checks that a process stops counting a successor that has ended, and hands over to
// the next one. The path of the socket is too long for the kernel.
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
			t.Errorf("got %d processes, has a successor: %v, want 2 and true", got, hasSuccessor(handover))
		}
		successor.predecessor.Close()
		if got := sidecartest.Next(t, counts); got != 1 || hasSuccessor(handover) {
			t.Errorf("after the successor's end: got %d processes, has a successor: %v, want 1 and false",
				got, hasSuccessor(handover))
		}
	}
	cancel()
	sidecartest.Next(t, done)
}

// TestSocketIsOpenedWhenItCanBe checks that a process retries opening the socket after a failure, so that a successor
// can take over later.
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
	time.Sleep(50 * time.Millisecond) // time for the first attempt to fail
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	successor := NewHandover(cfg, slog.New(slog.DiscardHandler))
	requestState(t, successor)
	successor.predecessor.Close()
	cancel()
	sidecartest.Next(t, done)
}

// TestSuccessorAcceptsFromSharedQueue checks that both processes accept connections from the same queue. The successor
// has to accept a connection that waits in the queue when the predecessor stops, and one that is opened later. With
// separate queues the first one would be lost.
func TestSuccessorAcceptsFromSharedQueue(t *testing.T) {
	listener := sidecartest.Listen(t)
	cfg := &config.Config{Listen: listener.Addr().String(), AdminListen: "x", ScratchDir: t.TempDir()}
	handover := NewHandover(cfg, slog.New(slog.DiscardHandler))
	runUntilCleanup(t, handover, newProcess(cfg, listener))
	successor := NewHandover(cfg, handover.log)
	shared := requestState(t, successor)
	if shared == nil {
		t.Fatal("got no listener with the state, want the predecessor's")
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
			t.Errorf("got connection %v and error %v, want one from %v", got, err, c.LocalAddr())
		}
	}
}

// TestRetiredProcessLeavesSocket checks that a retired process does not reopen the socket when its successor ends,
// because by then the socket may belong to another process.
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
		t.Error("a state was received after Retire, want an error because nothing listens on the socket")
	}
}

// TestTwoSuccessorsAtOnce checks that all processes are counted when two successors run at once, and that Retire
// reports a successor while one of them still runs.
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
			t.Errorf("after successor %d took over: got %d processes, want %d", i+1, got, i+2)
		}
	}
	successors[0].predecessor.Close()
	if got := sidecartest.Next(t, counts); got != 2 || !handover.Retire() {
		t.Errorf("after the end of one successor: got %d processes, want 2 and Retire to return true", got)
	}
	successors[1].predecessor.Close()
}

// TestRetireDuringHandover checks that a process which retires during a handover either shares its listener, which it
// then does not stop, or sends nothing, so that the successor opens its own listener. If it stopped a shared listener,
// the successor could not accept connections.
func TestRetireDuringHandover(t *testing.T) {
	for name, retireFirst := range map[string]bool{"handover first": false, "retire first": true} {
		t.Run(name, func(t *testing.T) {
			listener := sidecartest.Listen(t)
			cfg := &config.Config{Listen: listener.Addr().String(), AdminListen: "x", ScratchDir: t.TempDir()}
			handover := NewHandover(cfg, slog.New(slog.DiscardHandler))
			successor := NewHandover(cfg, handover.log)
			outcome := retireDuringHandover(t, handover, successor, newProcess(cfg, listener), retireFirst)
			if retireFirst != (outcome.err != nil) || outcome.hasSuccessor != (outcome.err == nil) {
				t.Fatalf("RequestState: got error %v, want one: %v; Retire: got %v, want %v",
					outcome.err, retireFirst, outcome.hasSuccessor, outcome.err == nil)
			}
			if outcome.err != nil {
				return
			}
			defer successor.predecessor.Close()
			defer outcome.listener.Close()
			drain(t, listener, outcome.hasSuccessor)
			conn, err := net.Dial("tcp", cfg.Listen)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			got, err := outcome.listener.Accept()
			if err != nil || got.RemoteAddr().String() != conn.LocalAddr().String() {
				t.Errorf("the successor got connection %v and error %v, want one from %v", got, err, conn.LocalAddr())
			}
		})
	}
}

// retirement is the outcome of a process that retires while a successor requests its state.
type retirement struct {
	hasSuccessor bool         // result of Retire
	listener     net.Listener // received by the successor
	err          error        // of the successor's RequestState
}

// retireDuringHandover retires a process before the successor requests the state, or while the process exports it.
func retireDuringHandover(
	t *testing.T, handover, successor *Handover, process Process, retireFirst bool,
) (outcome retirement) {
	t.Helper()
	exporting, release := make(chan bool), make(chan bool)
	exportState := process.ExportState
	process.ExportState = func() (*State, error) {
		exporting <- true
		<-release
		return exportState()
	}
	runUntilCleanup(t, handover, process)
	sidecartest.WaitFor(t, "the socket is there", func() bool {
		_, err := os.Stat(string(handover.socket))
		return err == nil
	})
	if retireFirst {
		outcome.hasSuccessor = handover.Retire()
	}
	requested := make(chan bool)
	go func() {
		_, outcome.listener, outcome.err = successor.RequestState()
		close(requested)
	}()
	if !retireFirst {
		sidecartest.Next(t, exporting)
		outcome.hasSuccessor = handover.Retire()
		close(release)
	}
	sidecartest.Next(t, requested)
	return outcome
}

// drain drains a listener as the sidecar does after Retire, and returns when no more connections are accepted from it.
// shared tells whether a successor accepts from the same queue.
func drain(t *testing.T, listener net.Listener, shared bool) {
	t.Helper()
	tracker := downstream.NewConnTracker(10)
	pool := upstream.NewPool(upstream.PoolConfig{ConnectTimeout: time.Second, IdleTimeout: time.Second, MaxConns: 38})
	clientListener := downstream.NewListener(listener, tracker, pool)
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

// TestForeignStateIsRejected checks that RequestState returns an error for a state of another client address, of
// another version or with an invalid endpoint list.
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
			t.Errorf("got no error for the state %+v, want one", state)
		}
		cancel()
		sidecartest.Next(t, done)
	}
}

// requestState requests the state of the predecessor until that succeeds, and returns the listener that it shares.
func requestState(t *testing.T, successor *Handover) (shared net.Listener) {
	t.Helper()
	sidecartest.WaitFor(t, "the socket is there", func() bool {
		var err error
		_, shared, err = successor.RequestState()
		return err == nil
	})
	return shared
}

// newProcess returns a process with the listener, which may be nil, and with a state that has no endpoints.
func newProcess(cfg *config.Config, listener net.Listener) Process {
	return Process{
		Listener:     listener,
		ExportState:  func() (*State, error) { return &State{Version: StateVersion, Listen: cfg.Listen}, nil },
		CountChanged: func(int) {},
	}
}

// hasSuccessor reports whether a successor is running.
func hasSuccessor(handover *Handover) bool {
	handover.processCounter.mu.Lock()
	defer handover.processCounter.mu.Unlock()
	return handover.processCounter.runningSuccessors > 0
}

// runUntilCleanup runs a handover until the end of the test. It waits until Run returns before the directory of the
// socket is removed, because Run may be opening the socket again.
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
