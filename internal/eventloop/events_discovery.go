package eventloop

import (
	"cindersaddle/balance"
	"cindersaddle/internal/discovery"
	"cindersaddle/internal/membership"
)

// The loop receives the lists of discovery.
var _ discovery.Observer = (*Loop)(nil)

// endpointListUpdate is a list of endpoints, or of changes to it, from discovery.
type endpointListUpdate struct {
	list   *membership.EndpointList
	source string // the address of discovery
}

func (ev endpointListUpdate) apply(l *Loop) {
	kind := balance.UpdateDelta
	if ev.list.Complete {
		kind = balance.UpdateSnapshot
	}
	l.applyEndpointList(ev, kind)
}

// ListReceived posts a list from the discovery at the address source.
func (l *Loop) ListReceived(list *membership.EndpointList, source string) {
	l.inbox.post(endpointListUpdate{list: list, source: source})
}

// endpointListFailed is a call to discovery that failed.
type endpointListFailed struct{ err error }

func (ev endpointListFailed) apply(l *Loop) {
	if l.discoveryFailureLog.allow(l.clock.now) {
		l.log.Info("endpoint list not received", "error", ev.err)
	}
	if l.cfg.Balance.PolledDiscovery { // otherwise discovery calls again by itself, without the balancer
		l.notifyBalancer(balance.EndpointUpdate{Kind: balance.UpdateFailed})
	}
}

// ListFailed posts that a call to discovery failed.
func (l *Loop) ListFailed(err error) {
	l.inbox.post(endpointListFailed{err: err})
}
