package membership

import (
	"encoding/json"
	"fmt"
)

// Required JSON keys of an endpoint list.
const (
	keyRevision  = "revision"
	keyComplete  = "complete"
	keyEndpoints = "members"
)

// rawEndpointList is an EndpointList whose keys are optional, to distinguish a missing key from a zero value.
type rawEndpointList struct {
	Revision  *int64          `json:"revision"`
	Complete  *bool           `json:"complete"`
	Endpoints json.RawMessage `json:"members"`
}

// Parse parses and validates an endpoint list. The error is a *MissingKeyError, or wraps an error of package json or of
// Validate. A missing key is an error because its zero value, such as an empty list, could end all traffic or hide that
// an endpoint is draining.
func Parse(data []byte) (*EndpointList, error) {
	var raw rawEndpointList
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, fmt.Errorf("parse the endpoint list: %w", err)
	}
	if err := raw.checkRequiredKeys(); err != nil {
		return nil, err
	}
	list := &EndpointList{Revision: *raw.Revision, Complete: *raw.Complete}
	if err := json.Unmarshal(raw.Endpoints, &list.Endpoints); err != nil {
		return nil, fmt.Errorf("parse the endpoints of revision %d: %w", list.Revision, err)
	}
	if err := list.Validate(); err != nil {
		return nil, fmt.Errorf("revision %d: %w", list.Revision, err)
	}
	return list, nil
}

// checkRequiredKeys returns a *MissingKeyError for the first required key that is missing.
func (l *rawEndpointList) checkRequiredKeys() error {
	switch {
	case l.Revision == nil:
		return &MissingKeyError{Key: keyRevision}
	case l.Complete == nil:
		return &MissingKeyError{Key: keyComplete}
	case l.Endpoints == nil:
		return &MissingKeyError{Key: keyEndpoints}
	}
	return nil
}
