package discovery

import (
	"context"
	"sync"
)

// currentAddress holds the address of discovery. A change of the address cancels the calls to the previous one, so that
// no list from the previous address is reported after one from the new address.
type currentAddress struct {
	mu      sync.Mutex
	address string             // host and port
	cancel  context.CancelFunc // cancels the calls to address; nil before the first beginCalls
}

// set changes the address and cancels the calls to the previous one. It may be called from any goroutine.
func (a *currentAddress) set(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if address == a.address {
		return
	}
	a.address = address
	if a.cancel != nil {
		a.cancel()
	}
}

// beginCalls returns a context for the calls to the address, and the address. The context is cancelled when the address
// changes, when beginCalls is called again, or when ctx is done.
func (a *currentAddress) beginCalls(ctx context.Context) (context.Context, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancel != nil {
		a.cancel()
	}
	ctx, a.cancel = context.WithCancel(ctx)
	return ctx, a.address
}

// endCalls cancels the context that the last beginCalls returned.
func (a *currentAddress) endCalls() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancel != nil {
		a.cancel()
	}
}
