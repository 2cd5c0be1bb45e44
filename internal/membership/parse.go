package membership

import (
	"encoding/json"
	"fmt"
)

// document is a list with its keys optional, which distinguishes a missing one from a zero value.
type document struct {
	Revision *int64          `json:"revision"`
	Complete *bool           `json:"complete"`
	Members  json.RawMessage `json:"members"`
}

// Parse reads a list and validates it. A list without a revision, complete or members key is an error as well: read as an
// empty list it would end all traffic, or hide that a server drains.
func Parse(text []byte) (*EndpointList, error) {
	var parsed document
	if err := json.Unmarshal(text, &parsed); err != nil {
		return nil, fmt.Errorf("parse the endpoint list: %w", err)
	}
	if err := parsed.checkKeys(); err != nil {
		return nil, err
	}
	list := &EndpointList{Revision: *parsed.Revision, Complete: *parsed.Complete}
	if err := json.Unmarshal(parsed.Members, &list.Members); err != nil {
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
		return &MissingKeyError{Key: "revision"}
	case d.Complete == nil:
		return &MissingKeyError{Key: "complete"}
	case d.Members == nil:
		return &MissingKeyError{Key: "members"}
	}
	return nil
}
