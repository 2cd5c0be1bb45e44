package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cindersaddle/internal/membership"
)

// listParameters holds the parameters of a request for the endpoint list.
type listParameters struct {
	isWatch      bool          // whether the response waits for a list newer than fromRevision
	fromRevision int64         // 0 in a poll
	maxWait      time.Duration // time after which a watch gets the list even if it is not newer
}

// parseListParameters returns the parameters of a request. Numbers that cannot be parsed count as 0.
func parseListParameters(r *http.Request) listParameters {
	query := r.URL.Query()
	fromRevision, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("hold_ms"))
	return listParameters{
		isWatch:      query.Has("from"),
		fromRevision: fromRevision,
		maxWait:      time.Duration(waitMS) * time.Millisecond,
	}
}

// serveList responds to a poll at once, and to a watch when there is a newer list or its maximum wait is over. During
// an outage it responds to neither before the outage ends.
func (d *Discovery) serveList(w http.ResponseWriter, r *http.Request) {
	parameters := parseListParameters(r)
	waitOver := time.After(parameters.maxWait)
	for waited := false; ; {
		list, inOutage, changed := d.snapshot()
		if !inOutage && (!parameters.isWatch || list.Revision > parameters.fromRevision || waited) {
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

// snapshot returns the endpoint list, whether there is an outage, and a channel that is closed when either changes.
func (d *Discovery) snapshot() (list membership.EndpointList, inOutage bool, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listLocked(), d.inOutage, d.changed
}
