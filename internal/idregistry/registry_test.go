package idregistry

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
)

// TestClaimedIDIsRefusedByBothProcesses guards against the execution of an ID that the other process of an upgrade may have
// executed.
func TestClaimedIDIsRefusedByBothProcesses(t *testing.T) {
	dir := t.TempDir()
	var registries [2]*Registry
	for i := range registries {
		var err error
		if registries[i], err = Open(dir, "127.0.0.1:9000"); err != nil {
			t.Fatal(err)
		}
	}
	first, second := registries[0], registries[1]
	if !first.Claim("a") || second.Claim("a") || first.Claim("a") {
		t.Error("ID claimed by one process: want it granted once")
	}
	second.Withdraw("a")
	if !first.Claim("a") {
		t.Error("withdrawn ID: got it refused, want it granted")
	}
}

// TestConcurrentClaimsGrantAnIDOnce guards against two executions of an ID that is claimed several times at the same moment.
func TestConcurrentClaimsGrantAnIDOnce(t *testing.T) {
	registry := New()
	for i := range 2000 {
		id := fmt.Sprint(i)
		var granted atomic.Int32
		var claims sync.WaitGroup
		for range 4 {
			claims.Go(func() {
				if registry.Claim(id) {
					granted.Add(1)
				}
			})
		}
		claims.Wait()
		if got := granted.Load(); got > 1 {
			t.Fatalf("ID %s: granted %d times, want at most once", id, got)
		}
	}
}

// TestRecentIDsAreRemembered guards against forgetting IDs too early: those of the last seconds must be refused.
func TestRecentIDsAreRemembered(t *testing.T) {
	const recent = 3000 // three seconds at 1,000 requests per second
	registry := New()
	for i := range 20 * recent {
		registry.Claim(fmt.Sprint(i))
		if old := i - recent; old >= 0 && registry.Claim(fmt.Sprint(old)) {
			t.Fatalf("ID claimed %d claims ago: got it granted, want it refused", recent)
		}
	}
}
