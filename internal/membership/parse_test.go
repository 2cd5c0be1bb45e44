package membership

import (
	"errors"
	"testing"
)

// TestParseNamesInvalidPart checks that the error for an invalid list names the missing key, or the invalid endpoint
// and value.
func TestParseNamesInvalidPart(t *testing.T) {
	const endpoint = `{"id": "s-1", "host_port": "127.0.0.1:1", "phase": "ready"}`
	for name, test := range map[string]struct {
		text string
		want error
	}{
		"no revision": {`{"complete": true, "members": []}`, &MissingKeyError{"revision"}},
		"no complete": {`{"revision": 1, "members": []}`, &MissingKeyError{"complete"}},
		"no members":  {`{"revision": 1, "complete": true}`, &MissingKeyError{"members"}},
		"no ID":       {`{"revision": 1, "complete": true, "members": [` + endpoint + `, {}]}`, &MissingIDError{1}},
		"unknown phase": {
			`{"revision": 1, "complete": true, "members": [{"id": "s-1", "phase": "odd"}]}`, &UnknownPhaseError{"s-1", "odd"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			list, err := Parse([]byte(test.text))
			if list != nil || err == nil {
				t.Fatalf("got list %+v and error %v, want only an error", list, err)
			}
			for cause := errors.Unwrap(err); cause != nil; cause = errors.Unwrap(err) {
				err = cause
			}
			if err.Error() != test.want.Error() {
				t.Errorf("got error %q, want %q", err, test.want)
			}
		})
	}
}

// TestParseNamesInvalidAddress checks that an endpoint needs an address with host and port unless it is gone, and that
// the error names the endpoint and its address.
func TestParseNamesInvalidAddress(t *testing.T) {
	_, err := Parse([]byte(
		`{"revision": 1, "complete": true, "members": [{"id": "s-1", "host_port": "x", "phase": "draining"}]}`))
	var invalid *AddressError
	if !errors.As(err, &invalid) || invalid.EndpointID != "s-1" || invalid.Address != "x" {
		t.Errorf("got error %v, want an AddressError of endpoint s-1 and address x", err)
	}
	list, err := Parse([]byte(
		`{"revision": 1, "complete": true, "members": [{"id": "s-1", "host_port": "x", "phase": "gone"}]}`))
	if err != nil || len(list.Endpoints) != 1 {
		t.Errorf("with an endpoint that is gone and has no valid address: got %+v and error %v, want the list", list, err)
	}
}
