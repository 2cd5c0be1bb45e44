package eventloop

import "cindersaddle/balance"

// listVersion says which endpoint list the endpoint table holds. It is replaced with each list that is applied, and never
// becomes incomplete again.
type listVersion struct {
	source   string // the address of the discovery that the list came from
	revision int64  // discovery's number for it
	complete bool   // the list was complete, or discovery has updated it since
}

// next returns the version after an update is applied.
func (v listVersion) next(update endpointListUpdate, kind balance.UpdateKind) listVersion {
	return listVersion{
		source:   update.source,
		revision: update.list.Revision,
		complete: v.complete || kind != balance.UpdateCachedSnapshot || update.list.Complete,
	}
}
