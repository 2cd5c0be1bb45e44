package membership

import (
	"encoding/json"
	"fmt"
)

// Keys that a list must have.
const (
	keyRevision  = "revision"
	keyComplete  = "complete"
	keyEndpoints = "members"
)

// document is a list with its keys optional, which distinguishes a missing one from a zero value.
type document struct {
	Revision  *int64          `json:"revision"`
	Complete  *bool           `json:"complete"`
	Endpoints json.RawMessage `json:"members"`
}

// Parse reads a list and validates it. Its errors wrap those of package json, a MissingKeyError, or those of Validate. A
// missing key is an error as the list, read as an empty one, would end all traffic or hide that an endpoint is draining.
func Parse(text []byte) (*EndpointList, error) {
	var parsed document
	if err := json.Unmarshal(text, &parsed); err != nil {
		return nil, fmt.Errorf("parse the endpoint list: %w", err)
	}
	if err := parsed.checkKeys(); err != nil {
		return nil, err
	}
	list := &EndpointList{Revision: *parsed.Revision, Complete: *parsed.Complete}
	if err := json.Unmarshal(parsed.Endpoints, &list.Endpoints); err != nil {
		return nil, fmt.Errorf("parse the endpoints of revision %d: %w", list.Revision, err)
	}
	if err := list.Validate(); err != nil {
		return nil, fmt.Errorf("revision %d: %w", list.Revision, err)
	}
	return list, nil
}

// checkKeys returns an error that names the first key that the document lacks.
func (d *document) checkKeys() error {
	switch {
	case d.Revision == nil:
		return &MissingKeyError{Key: keyRevision}
	case d.Complete == nil:
		return &MissingKeyError{Key: keyComplete}
	case d.Endpoints == nil:
		return &MissingKeyError{Key: keyEndpoints}
	}
	return nil
}
