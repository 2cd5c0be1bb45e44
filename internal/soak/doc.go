// Package soak runs real sidecar processes against stand-ins while it injects a seeded plan of faults. It then checks
// the records of the clients and endpoints against a set of rules. A seed always gives the same plan, but the timing
// of the processes differs from run to run.
//
// NewPlan draws a plan, Run executes it and returns the Records, and Judge checks the records against each Rule. Each
// kind of event is in a file event_*.go, and each rule in a file rule_*.go.
package soak
