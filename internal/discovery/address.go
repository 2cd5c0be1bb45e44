package discovery

import (
	"context"
	"sync"
)

// currentAddress is the address of discovery. When it changes, the calls to the previous one are cancelled: no list from
// there may follow one from the new address.
type currentAddress struct {
	mu      sync.Mutex
	address string             // host and port
	cancel  context.CancelFunc // cancels the calls to address; nil before the first begin
}

// set changes the address. It may be called from any goroutine.
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

// begin returns the address, and a context for the calls to it that is cancelled when the address changes, when begin is
// called again, or when ctx is done.
func (a *currentAddress) begin(ctx context.Context) (context.Context, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancel != nil {
		a.cancel()
	}
	ctx, a.cancel = context.WithCancel(ctx)
	return ctx, a.address
}

// end releases the context of the last begin.
func (a *currentAddress) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancel != nil {
		a.cancel()
	}
}
