package soak

// checkProcesses checks RuleProcess: a process ends only by a signal, after a SIGTERM with exit code 0, and is ready in time
// after its start. It holds for the whole run; the time until a process is ready is bounded by its Launcher.
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
