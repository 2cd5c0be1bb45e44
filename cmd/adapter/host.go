package main

import (
	"fmt"
	"runtime/debug"

	"cindersaddle/balance"
	"cindersaddle/internal/settings"
	"cindersaddle/internal/wire"
)

// notStartedError reports an event for an instance that has not started, or that was stopped.
type notStartedError struct{ Instance uint16 }

// Error names the instance.
func (e *notStartedError) Error() string {
	return fmt.Sprintf("event for instance %d, which has not started", e.Instance)
}

// host runs the instances of this process; they share nothing.
type host struct {
	balancers map[uint16]*balance.Balancer // by instance; nil: its settings were invalid, its events are ignored
	reply     wire.Reply
}

// handle delivers one record to its instance. A panic of an instance is a fault of that instance only.
func (h *host) handle(clock balance.Milliseconds, record wire.Record) error {
	defer func() {
		if reason := recover(); reason != nil {
			h.reply.Fault(record.Instance, fmt.Sprintf("panic: %v\n%s", reason, debug.Stack()))
		}
	}()
	switch record.Kind {
	case wire.InstanceStarted:
		h.start(clock, record.Instance, record.Start)
	case wire.InstanceStopped:
		delete(h.balancers, record.Instance)
	case wire.EventOccurred:
		return h.deliver(clock, record.Instance, record.Event)
	}
	return nil
}

// start starts an instance, in place of an earlier one of its number.
func (h *host) start(clock balance.Milliseconds, instance uint16, start wire.InstanceStart) {
	cfg, err := settings.Parse(start.Seed, start.Settings)
	if err != nil {
		h.balancers[instance] = nil
		h.reply.Fault(instance, err.Error())
		return
	}
	balancer := balance.New(cfg)
	h.balancers[instance] = balancer
	h.reply.Add(instance, balancer.Start(clock))
}

// deliver hands an event to an instance. Its error ends the adapter.
func (h *host) deliver(clock balance.Milliseconds, instance uint16, event balance.Event) error {
	balancer, started := h.balancers[instance]
	if !started {
		return &notStartedError{Instance: instance}
	}
	if balancer == nil {
		return nil
	}
	actions, err := balancer.Handle(clock, event)
	if err != nil {
		h.reply.Fault(instance, err.Error())
		return nil
	}
	h.reply.Add(instance, actions)
	return nil
}
