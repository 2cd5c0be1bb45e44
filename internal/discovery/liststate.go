package discovery

import "cindersaddle/internal/membership"

// listState records which list the Watcher has received from the current address. It decides whether the next call is
// a watch or a call for the complete list.
type listState struct {
	revision             int64 // of the latest list
	hasList              bool  // a list has been received; its revision may be 0
	mayHaveMissedChanges bool  // the last watch failed; only the complete list contains the changes that it missed
}

// canWatch reports whether a watch would return all changes: a list has been received, and no watch has failed since
// then.
func (s *listState) canWatch() bool { return s.hasList && !s.mayHaveMissedChanges }

// isNew reports whether list differs from the latest list in its revision.
func (s *listState) isNew(list *membership.EndpointList) bool {
	return !s.hasList || list.Revision != s.revision
}

// canApply reports whether list is complete or contains changes that apply to the latest list. Changes with an older
// revision mean that discovery has lost its state, so the complete list is needed.
func (s *listState) canApply(list *membership.EndpointList) bool {
	return list.Complete || list.Revision >= s.revision
}

// recordList records that list has been received.
func (s *listState) recordList(list *membership.EndpointList) {
	s.hasList, s.mayHaveMissedChanges, s.revision = true, false, list.Revision
}

// recordWatchFailure records that a watch failed and may have missed changes.
func (s *listState) recordWatchFailure() { s.mayHaveMissedChanges = true }

// reset prepares for another address. Revisions of different addresses are not comparable, so the next call must be
// for the complete list.
func (s *listState) reset() { s.hasList, s.mayHaveMissedChanges = false, false }
