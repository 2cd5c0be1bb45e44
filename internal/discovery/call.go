package discovery

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"cindersaddle/internal/membership"
)

// listPath is the path of all calls.
const listPath = "/discovery/hosts"

// Query parameters of a watch.
const (
	queryRevision = "from"    // the revision of the latest list
	queryHold     = "hold_ms" // how long the watch may be held, in milliseconds
)

// call is one call to discovery.
type call struct {
	address          string
	query            url.Values    // nil: the call is for the complete list
	firstByteTimeout time.Duration // by when the head of the response has to come
	timeout          time.Duration // by when its last byte has to come
}

// newListCall returns a call for the complete list.
func newListCall(address string, times timeouts) call {
	return call{address: address, firstByteTimeout: times.firstByte, timeout: times.responseSlack}
}

// newWatchCall returns a call for what is newer than a revision. Discovery may hold it until there is something newer.
func newWatchCall(address string, revision int64, times timeouts) call {
	query := url.Values{
		queryRevision: {strconv.FormatInt(revision, 10)},
		queryHold:     {strconv.FormatInt(times.hold.Milliseconds(), 10)},
	}
	timeout := times.hold + times.responseSlack
	return call{address: address, query: query, firstByteTimeout: timeout, timeout: timeout}
}

// request returns the HTTP request of the call.
func (c call) request(ctx context.Context) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: c.address, Path: listPath, RawQuery: c.query.Encode()}
	return http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
}

// parse returns the list in the body of the response. Its error is an IncompleteListError or one of package membership.
func (c call) parse(body []byte) (*membership.EndpointList, error) {
	list, err := membership.Parse(body)
	if err != nil {
		return nil, err
	}
	if c.query == nil && !list.Complete {
		return nil, &IncompleteListError{Revision: list.Revision}
	}
	return list, nil
}
