// Package soak runs built sidecars against stand-ins under a seeded plan of faults, and judges the run by the records of
// the clients and of the servers that act as endpoints. A seed always gives the same plan; the timing of the processes
// differs from run to run.
//
// NewPlan draws a plan, Run carries it out and returns the Records, and Judge checks them against each Rule. An event of a plan
// is in a file event_*.go, and a rule in a file rule_*.go.
package soak
