package discovery

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"cindersaddle/internal/membership"
)

// listPath is the URL path of all calls.
const listPath = "/discovery/hosts"

// Query parameters of a watch.
const (
	queryRevision = "from"    // revision of the latest list
	queryHold     = "hold_ms" // how long the watch may be held, in milliseconds
)

// httpCall describes an HTTP call to discovery.
type httpCall struct {
	address          string
	query            url.Values    // of a watch; nil for a call for the complete list
	firstByteTimeout time.Duration // from the start of the call to the head of the response
	timeout          time.Duration // from the start of the call to the end of the response
}

// newListCall returns a call for the complete list.
func newListCall(address string, timeouts callTimeouts) httpCall {
	return httpCall{address: address, firstByteTimeout: timeouts.firstByte, timeout: timeouts.responseSlack}
}

// newWatchCall returns a call for a list that is newer than revision. Discovery may hold the response until there is
// one.
func newWatchCall(address string, revision int64, timeouts callTimeouts) httpCall {
	query := url.Values{
		queryRevision: {strconv.FormatInt(revision, 10)},
		queryHold:     {strconv.FormatInt(timeouts.watchHold.Milliseconds(), 10)},
	}
	timeout := timeouts.watchHold + timeouts.responseSlack
	return httpCall{address: address, query: query, firstByteTimeout: timeout, timeout: timeout}
}

// httpRequest returns the HTTP request of the call.
func (c httpCall) httpRequest(ctx context.Context) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: c.address, Path: listPath, RawQuery: c.query.Encode()}
	return http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
}

// parseResponse parses the list in the body of the response. The error is an IncompleteListError or comes from package
// membership.
func (c httpCall) parseResponse(body []byte) (*membership.EndpointList, error) {
	list, err := membership.Parse(body)
	if err != nil {
		return nil, err
	}
	if c.query == nil && !list.Complete {
		return nil, &IncompleteListError{Revision: list.Revision}
	}
	return list, nil
}
