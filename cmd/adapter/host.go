package main

import (
	"fmt"
	"runtime/debug"

	"cindersaddle/balance"
	"cindersaddle/internal/settings"
	"cindersaddle/internal/wire"
)

// notRunningError reports an event for an instance that has not started or has stopped.
type notRunningError struct{ Instance uint16 }

// Error implements error. It names the instance.
func (e *notRunningError) Error() string {
	return fmt.Sprintf("event for instance %d, which has not started", e.Instance)
}

// host runs the instances of this process. Instances share no state.
type host struct {
	// balancers holds the balancer of each running instance. A balancer is nil if the settings of its instance were
	// invalid; the events of such an instance are ignored.
	balancers map[uint16]*balance.Balancer
	reply     wire.Reply // reply to the current frame
}

// handle processes a record. A panic is reported as a fault of the record's instance, and other instances continue to
// run. An error ends the adapter.
func (h *host) handle(clock balance.Milliseconds, record wire.Record) error {
	defer func() {
		if reason := recover(); reason != nil {
			h.reply.AddFault(record.Instance, fmt.Sprintf("panic: %v\n%s", reason, debug.Stack()))
		}
	}()
	switch record.Kind {
	case wire.InstanceStarted:
		h.startInstance(clock, record.Instance, record.Start)
	case wire.InstanceStopped:
		delete(h.balancers, record.Instance)
	case wire.EventOccurred:
		return h.deliverEvent(clock, record.Instance, record.Event)
	}
	return nil
}

// startInstance starts an instance, which replaces an earlier instance with the same number. Invalid settings are
// reported as a fault.
func (h *host) startInstance(clock balance.Milliseconds, instance uint16, start wire.InstanceStart) {
	cfg, err := settings.Parse(start.Seed, start.Settings)
	if err != nil {
		h.balancers[instance] = nil
		h.reply.AddFault(instance, err.Error())
		return
	}
	balancer := balance.New(cfg)
	h.balancers[instance] = balancer
	h.reply.AddActions(instance, balancer.Start(clock))
}

// deliverEvent passes an event to an instance. An event that the balancer rejects is reported as a fault. The only
// error is a *notRunningError, which ends the adapter.
func (h *host) deliverEvent(clock balance.Milliseconds, instance uint16, event balance.Event) error {
	balancer, running := h.balancers[instance]
	if !running {
		return &notRunningError{Instance: instance}
	}
	if balancer == nil {
		return nil
	}
	actions, err := balancer.Handle(clock, event)
	if err != nil {
		h.reply.AddFault(instance, err.Error())
		return nil
	}
	h.reply.AddActions(instance, actions)
	return nil
}
