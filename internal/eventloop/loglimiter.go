package eventloop

import "cindersaddle/balance"

// discoveryFailureLogInterval is the minimum time between two log lines about failed calls to discovery. An
// unresponsive agent is called several times a second.
const discoveryFailureLogInterval balance.Milliseconds = 1000

// logLimiter limits how often something is logged, to one line per interval.
type logLimiter struct {
	interval      balance.Milliseconds
	lastAllowedAt balance.Milliseconds // when allow last returned true; 0: never
}

// allow reports whether a line may be logged now. If so, the next interval starts.
func (l *logLimiter) allow(now balance.Milliseconds) bool {
	if now < l.lastAllowedAt+l.interval {
		return false
	}
	l.lastAllowedAt = now
	return true
}
