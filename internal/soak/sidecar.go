package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"cindersaddle/internal/standin"
)

// memoryLimitMB is the memory that a sidecar may use, in MB.
const memoryLimitMB = 96

// sidecar is one sidecar of a run over all its processes, with its client and its discovery agent.
type sidecar struct {
	id                  SidecarID
	client              *standin.Client
	config              standin.ProcessConfig
	discovery           *standin.Discovery
	process             Process      // nil until the first process is ready
	incarnation         *Incarnation // of the process that was started last
	terminationReserved bool         // an event is terminating the process; no other event may terminate or reload it
}

// startSidecar starts a sidecar with its discovery agent and its client.
func (r *run) startSidecar(number int) error {
	listen, err := standin.FreeAddress()
	if err != nil {
		return err
	}
	discovery, err := standin.NewDiscovery()
	if err != nil {
		return err
	}
	for _, endpoint := range r.endpoints {
		discovery.SetEndpoint(endpoint.listEntry)
	}
	sidecar := &sidecar{id: sidecarID(number), discovery: discovery, client: standin.NewClient(listen)}
	sidecar.config = r.sidecarConfig(number, listen, discovery.Addr())
	r.sidecars = append(r.sidecars, sidecar)
	return r.startProcess(sidecar)
}

// sidecarConfig returns the part of a sidecar's configuration that is the same for all its processes.
func (r *run) sidecarConfig(number int, listen, discovery string) standin.ProcessConfig {
	settings := r.plan.Settings
	settings.InstanceIndex, settings.InstanceCount = number, r.plan.Sidecars
	return standin.ProcessConfig{
		Name: string(sidecarID(number)), Listen: listen, Discovery: discovery,
		Seed:     fmt.Sprintf("%x", r.plan.Seed+uint64(number)),
		Limits:   standin.ProcessLimits{Cores: 1, MemoryMB: memoryLimitMB, Sockets: r.plan.Sockets},
		Settings: settings,
	}
}

// sidecar returns the sidecar with the given ID. It panics if the plan has no such sidecar.
func (r *run) sidecar(id SidecarID) *sidecar {
	for _, sidecar := range r.sidecars {
		if sidecar.id == id {
			return sidecar
		}
	}
	panic("no sidecar " + id)
}

// startProcess starts the next process of a sidecar and waits until it is ready.
func (r *run) startProcess(sidecar *sidecar) error {
	r.addIncarnation(sidecar, &Incarnation{Sidecar: sidecar.id, StartedAt: time.Now()})
	process, err := r.launchProcess(sidecar)
	if err != nil {
		return err
	}
	r.setProcess(sidecar, process)
	r.releaseTermination(sidecar)
	return nil
}

// restartSidecar starts the next process of a sidecar and records the error if that fails.
func (r *run) restartSidecar(sidecar *sidecar) {
	if err := r.startProcess(sidecar); err != nil {
		r.recordStartError(err)
	}
}

// launchProcess starts a process of a sidecar, which gets its own admin address.
func (r *run) launchProcess(sidecar *sidecar) (Process, error) {
	admin, err := standin.FreeAddress()
	if err != nil {
		return nil, err
	}
	config := r.prepareConfig(sidecar, admin)
	dir := filepath.Join(r.dir, config.Name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	return r.launch(config, dir, r.environment()...)
}

// prepareConfig returns the configuration of the next process of a sidecar, with its admin address and the current
// endpoint list.
func (r *run) prepareConfig(sidecar *sidecar, admin string) standin.ProcessConfig {
	r.mu.Lock()
	defer r.mu.Unlock()
	sidecar.config.Admin = admin
	sidecar.config.Known = sidecar.discovery.List()
	return sidecar.config
}

// addIncarnation records a new process of a sidecar and makes it the current incarnation.
func (r *run) addIncarnation(sidecar *sidecar, incarnation *Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.incarnations = append(r.incarnations, incarnation)
	sidecar.incarnation = incarnation
}

func (r *run) setProcess(sidecar *sidecar, process Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sidecar.process = process
}

func (r *run) currentProcess(sidecar *sidecar) Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return sidecar.process
}

// terminatingProcess is a process that an event terminates, with its record.
type terminatingProcess struct {
	process     Process
	incarnation *Incarnation
}

// reserveTermination reserves the process of a sidecar for the caller to terminate, and returns it. It returns false if
// another event has reserved the process.
func (r *run) reserveTermination(sidecar *sidecar) (terminating terminatingProcess, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if sidecar.terminationReserved {
		return terminatingProcess{}, false
	}
	sidecar.terminationReserved = true
	return terminatingProcess{sidecar.process, sidecar.incarnation}, true
}

// releaseTermination lets other events terminate or reload the process of a sidecar again.
func (r *run) releaseTermination(sidecar *sidecar) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sidecar.terminationReserved = false
}

// recordCrash records a crash if the last process has ended before the end of the run. It is called at that end.
func (s *sidecar) recordCrash() {
	if ended, exit := s.process.Wait(0); ended {
		s.incarnation.Crash = fmt.Errorf("the process has ended before the end of the run, exit error: %v", exit)
	}
}

// logLines returns the lines that contain a text, from the logs of all sidecars.
func (r *run) logLines(text string) (lines []string) {
	for _, sidecar := range r.sidecars {
		lines = append(lines, sidecar.process.LogLines(text)...)
	}
	return lines
}

// close kills the process of the sidecar, and closes its client and its discovery agent.
func (s *sidecar) close() {
	if s.process != nil {
		s.process.Kill()
	}
	s.client.Close()
	s.discovery.Close()
}
