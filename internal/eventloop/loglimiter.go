package eventloop

import "cindersaddle/balance"

// discoveryFailureLogInterval is the least time between two log lines about failed calls to discovery: an unresponsive agent is called
// several times a second.
const discoveryFailureLogInterval balance.Milliseconds = 1000

// logLimiter bounds how often something is logged: at most one line in each interval.
type logLimiter struct {
	interval      balance.Milliseconds
	lastAllowedAt balance.Milliseconds // when the last line was allowed
}

// allow reports whether a line may be logged now, and counts it if so.
func (l *logLimiter) allow(now balance.Milliseconds) bool {
	if now < l.lastAllowedAt+l.interval {
		return false
	}
	l.lastAllowedAt = now
	return true
}
