package eventloop

import (
	"cindersaddle/balance"
	"cindersaddle/internal/discovery"
	"cindersaddle/internal/membership"
)

// Loop receives the endpoint lists from package discovery.
var _ discovery.Observer = (*Loop)(nil)

// endpointListUpdate reports a complete endpoint list, or changes to it.
type endpointListUpdate struct {
	list   *membership.EndpointList
	source string // the address of the discovery service
}

func (ev endpointListUpdate) apply(l *Loop) {
	kind := balance.UpdateDelta
	if ev.list.Complete {
		kind = balance.UpdateSnapshot
	}
	l.applyEndpointList(ev, kind)
}

// ListReceived passes a list from the discovery service at the address source to the loop.
func (l *Loop) ListReceived(list *membership.EndpointList, source string) {
	l.inbox.post(endpointListUpdate{list: list, source: source})
}

// endpointListFailed reports a failed call to discovery.
type endpointListFailed struct{ err error }

func (ev endpointListFailed) apply(l *Loop) {
	if l.discoveryFailureLog.allow(l.clock.now) {
		l.log.Info("endpoint list not received", "error", ev.err)
	}
	if l.cfg.Balance.PolledDiscovery { // otherwise the watcher repeats the call without the balancer
		l.notifyBalancer(balance.EndpointUpdate{Kind: balance.UpdateFailed})
	}
}

// ListFailed tells the loop that a call to discovery failed.
func (l *Loop) ListFailed(err error) {
	l.inbox.post(endpointListFailed{err: err})
}
