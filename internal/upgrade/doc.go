// Package upgrade hands over the learned state and the client listener of a sidecar process to the process that
// replaces it.
//
// The processes communicate over a Unix socket in the scratch directory. The successor connects and requests the
// state. While the connection stays open, each process knows that the other one is running and limits itself to its
// share of the file descriptors and the memory. The handover is best effort: without a predecessor, or with one that
// sends invalid data, a process starts without learned state.
//
// Each process has one Handover, which takes both roles in turn: first the successor, in RequestState, then the
// predecessor, in Run. Run starts one goroutine for the predecessor and one for each successor, and returns when all
// of them have ended. Only Retire may be called concurrently with Run.
package upgrade
