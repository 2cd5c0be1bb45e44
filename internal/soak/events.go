package soak

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"cindersaddle/internal/standin"
)

// upgradeGrace is when the news of discovery count as told to a new process after it is ready.
const upgradeGrace = 2 * time.Second

// reloadInterval is the time between the new configurations of a series.
const reloadInterval = 350 * time.Millisecond

// slowDelay is by how much a slow server's bytes come late.
const slowDelay = 80 * time.Millisecond

// carryOut waits for the moment of an event and carries it out to its end.
func (r *run) carryOut(event Event) {
	time.Sleep(time.Until(r.beganAt.Add(event.At)))
	switch event.Kind {
	case EventTerm:
		r.terminate(r.sidecars[event.Target])
	case EventKill:
		r.kill(r.sidecars[event.Target])
	case EventUpgrade:
		r.upgrade(r.sidecars[event.Target])
	case EventReload:
		r.reloadInSeries(r.sidecars[event.Target], event.Length)
	case EventHoldUp:
		r.holdUp(r.sidecars[event.Target], event.Length)
	case EventDiscoveryDown:
		r.silenceDiscovery(event.Length)
	case EventClockStep:
		r.stepClock(event.Length)
	default:
		r.disturb(event.Kind, r.servers[event.Target], event.Length)
	}
}

// disturb carries out an event of a server.
func (r *run) disturb(kind EventKind, s *server, length time.Duration) {
	switch kind {
	case EventDrain:
		r.tell(s, "draining")
		time.Sleep(length)
		r.tell(s, "gone")
	case EventRestart:
		r.restart(s, length)
	case EventHang:
		s.hanging.Store(true)
		time.Sleep(length)
		s.hanging.Store(false)
	case EventCut:
		s.proxy.SetSilent(true)
		time.Sleep(length)
		s.proxy.SetSilent(false)
		s.proxy.ResetAll()
	case EventReset:
		s.proxy.ResetAll()
	case EventSlow:
		s.proxy.SetDelay(slowDelay)
		time.Sleep(length)
		s.proxy.SetDelay(0)
	}
}

// tell has all agents list a server in another phase.
func (r *run) tell(s *server, phase string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.endpoint.Phase = phase
	for _, sidecar := range r.sidecars {
		sidecar.discovery.Set(s.endpoint)
	}
}

// restart ends a server's process and starts another one at the same address, which warms up.
func (r *run) restart(s *server, pause time.Duration) {
	address := s.standin.Addr()
	s.standin.Close()
	r.tell(s, "gone")
	time.Sleep(pause)
	next, err := standin.NewServer(s.name, address, r.behavior(s))
	r.mu.Lock()
	if err != nil {
		r.records.StartErrs = append(r.records.StartErrs, err)
		r.mu.Unlock()
		return
	}
	s.past = append(s.past, s.standin.Attempts()...)
	s.standin = next
	started := time.Now()
	s.endpoint.UpSince = float64(started.Add(time.Duration(r.clockStep.Load())).UnixMilli())
	r.records.Starts[s.name] = started
	r.mu.Unlock()
	r.tell(s, "ready")
}

// stepClock steps the wall clock of all machines.
func (r *run) stepClock(step time.Duration) {
	r.clockStep.Store(int64(step))
	path := r.clockStepPath()
	if os.WriteFile(path+".part", []byte(step.String()), 0o600) == nil {
		os.Rename(path+".part", path)
	}
}

func (r *run) silenceDiscovery(length time.Duration) {
	r.setDiscoverySilent(true)
	time.Sleep(length)
	r.setDiscoverySilent(false)
}

func (r *run) setDiscoverySilent(silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sidecars {
		s.discovery.SetSilent(silent)
	}
}

// holdUp gives a sidecar no processor time for a while.
func (r *run) holdUp(s *sidecar, length time.Duration) {
	process, _ := r.present(s)
	process.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	process.Signal(syscall.SIGCONT)
}

// present returns the present process of a sidecar and whether it is free to be ended; from then on it is not.
func (r *run) present(s *sidecar) (process Sidecar, ending bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return s.process, s.ending
}

// beginEnd marks the process of a sidecar as ending, at the moment of a signal, and returns it; nil: it ends already.
func (r *run) beginEnd(s *sidecar, mark func(*Life)) Sidecar {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.ending {
		return nil
	}
	s.ending = true
	mark(&r.records.Lives[s.life])
	return s.process
}

// terminate sends SIGTERM, SIGKILL at the earliest moment that is allowed if the process still runs, and starts another one.
func (r *run) terminate(s *sidecar) {
	process := r.beginEnd(s, func(life *Life) { life.TermAt = time.Now() })
	if process == nil {
		return
	}
	r.endByTerm(process, s.life)
	r.startAgain(s)
}

// endByTerm sends SIGTERM to the process of a life, and SIGKILL at the earliest moment that is allowed if it still runs then.
func (r *run) endByTerm(process Sidecar, life int) {
	process.Signal(syscall.SIGTERM)
	patience := min(r.plan.longestDeadline(), maxKillDeadline) + killMargin
	ended, exit := process.Wait(patience)
	r.endLife(life, func(life *Life) {
		if !ended {
			life.KilledAt = time.Now()
		} else if exit != nil {
			life.Crash = fmt.Errorf("exit after SIGTERM: %w", exit)
		}
	})
	process.Kill()
}

// upgrade starts a process beside that of a sidecar, and ends the former one when the new one is ready.
func (r *run) upgrade(s *sidecar) {
	former := r.beginEnd(s, func(*Life) {})
	if former == nil {
		return
	}
	started := time.Now()
	next, err := r.launchProcess(s)
	r.mu.Lock()
	if err != nil {
		r.records.StartErrs = append(r.records.StartErrs, err)
		s.ending = false
		r.mu.Unlock()
		return
	}
	formerLife := s.life
	r.records.Lives[formerLife].TermAt = time.Now()
	r.records.Lives = append(r.records.Lives, Life{
		Sidecar: s.config.Name, StartedAt: started, NewsFrom: time.Now().Add(upgradeGrace),
	})
	s.life = len(r.records.Lives) - 1
	s.process = next
	r.mu.Unlock()
	r.endByTerm(former, formerLife)
	r.mu.Lock()
	defer r.mu.Unlock()
	s.ending = false
}

// kill ends the process of a sidecar outright and starts another one.
func (r *run) kill(s *sidecar) {
	process := r.beginEnd(s, func(life *Life) { life.KilledAt = time.Now() })
	if process == nil {
		return
	}
	process.Kill()
	r.endLife(s.life, func(*Life) {})
	r.startAgain(s)
}

// endLife records the end of a process.
func (r *run) endLife(index int, mark func(*Life)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	life := &r.records.Lives[index]
	mark(life)
	life.EndedAt = time.Now()
}

func (r *run) startAgain(s *sidecar) {
	if err := r.startProcess(s); err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.records.StartErrs = append(r.records.StartErrs, err)
	}
}

// reloadInSeries reloads once, and again at intervals until a length of time is over.
func (r *run) reloadInSeries(s *sidecar, length time.Duration) {
	var reloads sync.WaitGroup
	for after := time.Duration(0); after <= length; after += reloadInterval {
		reloads.Go(func() { r.reload(s) })
		time.Sleep(reloadInterval)
	}
	reloads.Wait()
}

// reload gives a sidecar a new configuration with another discovery, and ends the former one.
func (r *run) reload(s *sidecar) {
	next, err := standin.NewDiscovery()
	if err != nil {
		return
	}
	r.mu.Lock()
	if s.ending {
		r.mu.Unlock()
		next.Close()
		return
	}
	former := s.discovery
	addTold(&r.records, s)
	for _, server := range r.servers {
		next.Set(server.endpoint)
	}
	next.CountNoticesFrom(time.Now().Add(reloadGrace))
	s.discovery = next
	s.config.Discovery = next.Addr()
	process, config := s.process, s.config
	r.mu.Unlock()
	process.WriteConfig(config)
	process.Signal(syscall.SIGHUP)
	time.Sleep(oldDiscoveryEnd)
	former.Close()
}
