package discovery

import "cindersaddle/internal/membership"

// listState is what is known of the list at the current address. It decides between a watch and a call for the complete
// list.
type listState struct {
	revision    int64 // of the latest list
	synced      bool  // there is a list, of this revision, which may be 0
	watchBroken bool  // the last watch failed: only the complete list contains what it missed
}

// canWatch reports whether a watch would miss no change: there is a list, and no watch has failed since.
func (s *listState) canWatch() bool { return s.synced && !s.watchBroken }

// isNew reports whether a list is not the latest one.
func (s *listState) isNew(list *membership.EndpointList) bool {
	return !s.synced || list.Revision != s.revision
}

// canApply reports whether the latest list can be updated by a list. Changes of an older revision mean that discovery
// has lost its state: only its complete list helps.
func (s *listState) canApply(list *membership.EndpointList) bool {
	return list.Complete || list.Revision >= s.revision
}

// listReceived records the latest list.
func (s *listState) listReceived(list *membership.EndpointList) {
	s.synced, s.watchBroken, s.revision = true, false, list.Revision
}

// watchFailed records a failed watch.
func (s *listState) watchFailed() { s.watchBroken = true }

// addressChanged records that the next list comes from another address. Each address has revisions of its own, so it
// has to send its complete list first.
func (s *listState) addressChanged() { s.synced, s.watchBroken = false, false }
