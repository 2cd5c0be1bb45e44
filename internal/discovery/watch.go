package discovery

import (
	"context"
	"time"

	"cindersaddle/internal/membership"
	"cindersaddle/internal/timing"
)

// Run keeps the list up to date until ctx is done. It may be called once.
func (w *Watcher) Run(ctx context.Context) {
	defer w.address.endCalls()
	for ctx.Err() == nil {
		addressCtx, address := w.address.beginCalls(ctx)
		w.followAddress(addressCtx, address)
		w.client.closeIdleConnections()
		w.listState.reset()
		w.addressChanged = true
	}
}

// followAddress keeps the list up to date with calls to one address until ctx is done.
func (w *Watcher) followAddress(ctx context.Context, address string) {
	callBackoff := w.newBackoff()
	for ctx.Err() == nil {
		needsRequest := w.needsRequest()
		if needsRequest && !w.awaitRequest(ctx) {
			return
		}
		result := w.watchUntilFailure(ctx, address)
		if result.listReceived {
			callBackoff.reset()
		}
		if !needsRequest && !result.timedOut {
			timing.Sleep(ctx, callBackoff.next())
		}
	}
}

// newBackoff returns a backoff for the calls to one address.
func (w *Watcher) newBackoff() backoff {
	if w.mode == agentMode {
		return backoff{maxDoublings: maxAgentDoublings}
	}
	return backoff{maxDoublings: maxPolledDoublings}
}

// needsRequest reports whether the next call has to wait for a request of the balancer, which is the rule in polled
// mode. After a change of the address, calls are made without requests until a list has been received: the balancer
// does not distinguish the addresses, and might pause for long because of earlier failures.
func (w *Watcher) needsRequest() bool {
	return w.mode == polledMode && (w.listState.hasList || !w.addressChanged)
}

// awaitRequest blocks until the balancer requests a watch. It returns false if ctx is done first.
func (w *Watcher) awaitRequest(ctx context.Context) bool {
	select {
	case <-w.watchRequested:
		return true
	case <-ctx.Done():
		return false
	}
}

// watchResult describes the calls of watchUntilFailure.
type watchResult struct {
	listReceived bool // at least one call succeeded
	// timedOut is true if the last call timed out. The next call must then follow without a pause: when an
	// unresponsive agent recovers, the changes that it reports take effect at once, and only an open call receives
	// them.
	timedOut bool
}

// watchUntilFailure makes one call after another until a call for the complete list fails or ctx is done. A failed
// watch is not reported. A call for the complete list follows it instead, because the changes that the watch missed
// must be known soon.
func (w *Watcher) watchUntilFailure(ctx context.Context, address string) watchResult {
	var result watchResult
	for {
		start := time.Now()
		watched := w.listState.canWatch()
		list, err := w.nextList(ctx, address)
		switch {
		case ctx.Err() != nil:
			return result
		case err == nil:
			result.listReceived = true
			w.handleList(ctx, list, address, start)
		case watched:
			w.handleWatchFailure(ctx, err)
		default:
			w.observer.ListFailed(err)
			result.timedOut = isTimeout(err)
			return result
		}
	}
}

// nextList returns the response to a watch, or the complete list if a watch would miss changes or its response cannot
// be applied to the latest list.
func (w *Watcher) nextList(ctx context.Context, address string) (*membership.EndpointList, error) {
	listCall := newListCall(address, w.timeouts)
	if !w.listState.canWatch() {
		return w.client.do(ctx, listCall)
	}
	list, err := w.client.do(ctx, newWatchCall(address, w.listState.revision, w.timeouts))
	if err == nil && !w.listState.canApply(list) {
		return w.client.do(ctx, listCall)
	}
	return list, err
}

// handleList reports the list of a call that started at start. It pauses after a list that is not new, because an
// agent may respond to each call at once.
func (w *Watcher) handleList(ctx context.Context, list *membership.EndpointList, address string, start time.Time) {
	isNew := w.listState.isNew(list)
	w.listState.recordList(list)
	w.observer.ListReceived(list, address)
	if !isNew {
		timing.Sleep(ctx, minCallInterval-time.Since(start))
	}
}

// handleWatchFailure records that a watch failed, and pauses unless the watch timed out.
func (w *Watcher) handleWatchFailure(ctx context.Context, err error) {
	w.listState.recordWatchFailure()
	if !isTimeout(err) {
		timing.Sleep(ctx, jittered(initialBackoff))
	}
}
