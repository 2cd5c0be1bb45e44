package discovery

import (
	"context"
	"time"

	"cindersaddle/internal/membership"
	"cindersaddle/internal/timing"
)

// Run follows the list until ctx is done. It may be called once.
func (w *Watcher) Run(ctx context.Context) {
	defer w.address.end()
	for ctx.Err() == nil {
		addressCtx, address := w.address.begin(ctx)
		w.followAddress(addressCtx, address)
		w.client.closeIdleConnections()
		w.list.addressChanged()
		w.addressChanged = true
	}
}

// followAddress follows the list at one address until ctx is done.
func (w *Watcher) followAddress(ctx context.Context, address string) {
	pauses := w.newBackoff()
	for ctx.Err() == nil {
		needsRequest := w.needsRequest()
		if needsRequest && !w.awaitRequest(ctx) {
			return
		}
		end := w.watchUntilFailure(ctx, address)
		if end.listReceived {
			pauses.reset()
		}
		if !needsRequest && !end.timedOut {
			timing.Sleep(ctx, pauses.next())
		}
	}
}

// newBackoff returns the pauses between failed calls to one address.
func (w *Watcher) newBackoff() backoff {
	if w.mode == agentMode {
		return backoff{maxDoublings: maxAgentDoublings}
	}
	return backoff{maxDoublings: maxPolledDoublings}
}

// needsRequest reports whether the next call has to wait until the balancer requests it, as it does with polled
// discovery. After a change of the address, calls are made without requests until a list has come: the balancer does not
// know of failures there, and would wait for long after earlier ones.
func (w *Watcher) needsRequest() bool {
	return w.mode == polledMode && (w.list.synced || !w.addressChanged)
}

// awaitRequest waits for a requested watch. It returns false if ctx is done.
func (w *Watcher) awaitRequest(ctx context.Context) bool {
	select {
	case <-w.requested:
		return true
	case <-ctx.Done():
		return false
	}
}

// watchEnd describes a sequence of calls that ended with a failed one.
type watchEnd struct {
	listReceived bool // at least one call succeeded
	// timedOut is set if the last call got no response in its time. The next call must follow without a pause: what an
	// agent that was unresponsive has to report takes effect as soon as it is back, and only an open call receives it.
	timedOut bool
}

// watchUntilFailure makes one call after the other until one fails or ctx is done. A watch that fails is not reported,
// but replaced at once by a call for the complete list: what the watch missed is to be known soon.
func (w *Watcher) watchUntilFailure(ctx context.Context, address string) watchEnd {
	var end watchEnd
	for {
		start := time.Now()
		watched := w.list.canWatch()
		list, err := w.nextList(ctx, address)
		switch {
		case ctx.Err() != nil:
			return end
		case err == nil:
			end.listReceived = true
			w.receive(ctx, list, address, start)
		case watched:
			w.breakWatch(ctx, err)
		default:
			w.observer.ListFailed(err)
			end.timedOut = timedOut(err)
			return end
		}
	}
}

// nextList waits for a list newer than the latest one, or gets the complete list if a watch could miss changes.
func (w *Watcher) nextList(ctx context.Context, address string) (*membership.EndpointList, error) {
	listCall := newListCall(address, w.timeouts)
	if !w.list.canWatch() {
		return w.client.do(ctx, listCall)
	}
	list, err := w.client.do(ctx, newWatchCall(address, w.list.revision, w.timeouts))
	if err == nil && !w.list.canApply(list) {
		return w.client.do(ctx, listCall)
	}
	return list, err
}

// receive reports the list of a call that began at start. It pauses after one that is not new: an agent may respond to
// each call at once.
func (w *Watcher) receive(ctx context.Context, list *membership.EndpointList, address string, start time.Time) {
	isNew := w.list.isNew(list)
	w.list.listReceived(list)
	w.observer.ListReceived(list, address)
	if !isNew {
		timing.Sleep(ctx, minCallInterval-time.Since(start))
	}
}

// breakWatch records that a watch failed. It pauses unless the watch timed out.
func (w *Watcher) breakWatch(ctx context.Context, err error) {
	w.list.watchFailed()
	if !timedOut(err) {
		timing.Sleep(ctx, jittered(backoffBase))
	}
}
