package soak

// checkProcesses checks RuleProcess: the last process of each sidecar is still running at the end of the run, a process
// that ends after SIGTERM exits with code 0, each process is ready in time after its start, and each endpoint that
// restarts can start its server. The Launcher limits the time until a process is ready.
//
// A process that is still running when SIGKILL follows its SIGTERM is not a violation; see run.terminate.
func (j *judge) checkProcesses() {
	for _, incarnation := range j.Incarnations {
		if incarnation.Crash != nil {
			j.report(RuleProcess, "", "sidecar %s: %v", incarnation.Sidecar, incarnation.Crash)
		}
	}
	for _, err := range j.StartErrs {
		j.report(RuleProcess, "", "%v", err)
	}
}
