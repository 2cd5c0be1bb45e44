package soak

// checkProcesses checks RuleProcess: a process ends only after a signal, exits with code 0 after SIGTERM, and is ready
// in time after its start. The rule applies to the whole run; the Launcher limits the time until a process is ready.
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
