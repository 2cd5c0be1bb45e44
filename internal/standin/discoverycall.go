package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cindersaddle/internal/membership"
)

// listCall is a call for the endpoint list.
type listCall struct {
	isWatch      bool          // it waits for a list newer than fromRevision
	fromRevision int64         // 0 in a poll
	maxWait      time.Duration // after which a watch gets the list in any case
}

// parseListCall returns the call that a request makes. Numbers that cannot be parsed count as 0.
func parseListCall(r *http.Request) listCall {
	query := r.URL.Query()
	fromRevision, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("hold_ms"))
	return listCall{isWatch: query.Has("from"), fromRevision: fromRevision, maxWait: time.Duration(waitMS) * time.Millisecond}
}

// serveList responds to a poll at once, and to a watch when there is a newer list or its wait is over; during an outage to
// neither until it ends.
func (d *Discovery) serveList(w http.ResponseWriter, r *http.Request) {
	call := parseListCall(r)
	waitOver := time.After(call.maxWait)
	for waited := false; ; {
		list, silent, changed := d.snapshot()
		if !silent && (!call.isWatch || list.Revision > call.fromRevision || waited) {
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(list)
			return
		}
		select {
		case <-changed:
		case <-waitOver:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

// snapshot returns the list, whether there is an outage, and a channel that is closed when one of them changes.
func (d *Discovery) snapshot() (list membership.EndpointList, silent bool, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listLocked(), d.silent, d.changed
}
