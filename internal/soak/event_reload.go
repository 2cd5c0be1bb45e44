package soak

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"cindersaddle/internal/standin"
)

const (
	// reloadInterval is the time between two reloads of a series.
	reloadInterval = 350 * time.Millisecond
	// reloadNotificationDelay is the time from a reload until the sidecar counts as notified by its new discovery agent.
	reloadNotificationDelay = 4 * time.Second
	// formerDiscoveryCloseDelay is the time from SIGHUP until the former discovery agent is closed.
	formerDiscoveryCloseDelay = 1500 * time.Millisecond
)

// ReloadSidecar reloads the configuration of a sidecar with SIGHUP, once and then every reloadInterval until Duration
// has passed. Each reload changes the address of the discovery agent.
type ReloadSidecar struct {
	Sidecar  SidecarID
	Duration time.Duration
}

func (a ReloadSidecar) String() string {
	return fmt.Sprintf("reloads of sidecar %s for %v", a.Sidecar, a.Duration)
}

func (a ReloadSidecar) execute(r *run) {
	sidecar := r.sidecar(a.Sidecar)
	var reloads sync.WaitGroup
	for after := time.Duration(0); after <= a.Duration; after += reloadInterval {
		reloads.Go(func() { r.reload(sidecar) })
		time.Sleep(reloadInterval)
	}
	reloads.Wait()
}

// reload moves a sidecar to a new discovery agent and closes the former one.
func (r *run) reload(sidecar *sidecar) {
	next, err := standin.NewDiscovery()
	if err != nil {
		return
	}
	process, config, former := r.replaceDiscovery(sidecar, next)
	if former == nil {
		next.Close()
		return
	}
	process.WriteConfig(config)
	process.Signal(syscall.SIGHUP)
	time.Sleep(formerDiscoveryCloseDelay)
	former.Close()
}

// replaceDiscovery makes next the discovery agent of a sidecar, unless an event is terminating the process. It returns
// the process, its new configuration and the former agent. The former agent is nil if nothing was replaced.
func (r *run) replaceDiscovery(
	sidecar *sidecar, next *standin.Discovery,
) (process Process, config standin.ProcessConfig, former *standin.Discovery) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if sidecar.terminationReserved {
		return nil, standin.ProcessConfig{}, nil
	}
	former = sidecar.discovery
	r.records.addNotifications(sidecar)
	for _, endpoint := range r.endpoints {
		next.SetEndpoint(endpoint.listEntry)
	}
	next.SetEarliestNotification(time.Now().Add(reloadNotificationDelay))
	sidecar.discovery = next
	sidecar.config.Discovery = next.Addr()
	return sidecar.process, sidecar.config, former
}
