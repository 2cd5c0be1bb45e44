// Package upgrade hands the state and the clients' listener of one sidecar process to the process that replaces it.
//
// The two processes meet at a Unix socket in the scratch directory: the successor requests the state, and as long as
// the connection stays open each knows that the other runs, and keeps to its part of the descriptors and the memory.
// The handover is best effort: without a predecessor, or with one that sends nonsense, a process starts without state.
//
// A Handover belongs to one process and plays both roles in turn: first the successor, by RequestState, then the
// predecessor, by Run. Run uses one goroutine for the predecessor and one for each successor, and returns when all of
// them have ended. Only Retire may be called beside Run.
package upgrade
