package eventloop

import "cindersaddle/balance"

// listVersion identifies the endpoint list that the endpoint table holds. Each list that is applied replaces it. Once
// complete, it stays complete.
type listVersion struct {
	source   string // the address of the discovery service that sent the list
	revision int64  // as numbered by that discovery service
	complete bool   // the list was complete, or discovery has updated it since
}

// next returns the version after an update has been applied.
func (v listVersion) next(update endpointListUpdate, kind balance.UpdateKind) listVersion {
	return listVersion{
		source:   update.source,
		revision: update.list.Revision,
		complete: v.complete || kind != balance.UpdateCachedSnapshot || update.list.Complete,
	}
}
