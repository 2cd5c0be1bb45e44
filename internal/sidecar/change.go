package sidecar

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cedararch/balance"
)

// change goes on under a new configuration. The module keeps what it learned and open requests their rules; limits,
// the times of connections and the form of load reports hold until a restart.
func (l *loop) change(next *Config) {
	before, old := l.rules, l.cfg
	b := &next.Balance
	b.Seed, b.ConnIdle, b.ConnectTimeout = old.Balance.Seed, old.Balance.ConnIdle, old.Balance.ConnectTimeout
	b.Subscribe, b.Reports, b.Fields = old.Balance.Subscribe, old.Balance.Reports, old.Balance.Fields
	next.fields, next.Mgmt = old.fields, old.Mgmt
	l.cfg, l.rules = next, newRules(next, l.figures)
	l.bal.Reconfigure(*b, places(l.rules.names, before.classes), places(l.rules.tenantList, before.tenants))
	l.front.rules.Store(l.rules)
	if !maps.Equal(old.zones, next.zones) || !maps.Equal(old.kinds, next.kinds) {
		l.retell()
	}
}

// retell tells the module the list that is held.
func (l *loop) retell() {
	list := balance.ServerList{Kind: balance.ListDelta}
	for _, e := range l.members() {
		list.Servers = append(list.Servers, l.entry(e, &e.member))
	}
	l.tell(list)
}

// members returns the endpoints in a fixed order.
func (l *loop) members() []*endpoint {
	all := make([]*endpoint, 0, len(l.endpoints))
	for _, name := range slices.Sorted(maps.Keys(l.endpoints)) {
		all = append(all, l.endpoints[name])
	}
	return all
}

// legacy is what a process that takes over from this one is told.
func (l *loop) legacy() *legacy {
	out := &legacy{
		Version: legacyVersion, Listen: l.cfg.Listen, Discovery: l.listedBy,
		List:    list{Revision: l.revision, Complete: l.held},
		Classes: l.rules.names, Tenants: l.rules.tenantList, Memory: l.bal.Handover(l.now),
	}
	for _, e := range l.members() {
		out.List.Members = append(out.List.Members, e.member)
	}
	return out
}

// inherit takes over what the process before had learned.
func (l *loop) inherit() {
	if h := l.heritage; h != nil {
		l.bal.TakeOver(l.now, h.Memory,
			places(l.rules.names, positions(h.Classes)), places(l.rules.tenantList, positions(h.Tenants)))
		l.heritage = nil
	}
}

// bequeath asks the loop for the legacy.
func (l *loop) bequeath() (*legacy, error) {
	answer := make(chan *legacy, 1)
	l.post(bequeath{answer})
	select {
	case out := <-answer:
		return out, nil
	case <-time.After(askLoopTime):
		return nil, fmt.Errorf("the loop does not answer in %v", askLoopTime)
	}
}
