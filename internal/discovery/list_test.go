package discovery

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"testing"

	"cindersaddle/internal/membership"
	"cindersaddle/internal/sidecartest"
)

// TestIndentedAndTruncatedLists checks that an indented list is accepted, and that a truncated response is dropped and
// followed by a call for the complete list.
func TestIndentedAndTruncatedLists(t *testing.T) {
	complete := membership.EndpointList{Revision: 42, Complete: true, Endpoints: []membership.Endpoint{
		sidecartest.ReadyEndpoint("s-1", "127.0.0.1:1"), sidecartest.ReadyEndpoint("s-2", "127.0.0.1:2"),
	}}
	text, err := json.MarshalIndent(complete, "\t", "    ")
	if err != nil {
		t.Fatal(err)
	}
	for name, first := range map[string]func(http.ResponseWriter){
		"indented": func(w http.ResponseWriter) { w.Write(text) },
		"truncated": func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
			w.Write(text[:len(text)/2])
			panic(http.ErrAbortHandler)
		},
		"truncated after a valid list": func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "1000")
			io.WriteString(w, `{"revision": 43, "complete": true, "members": []}`)
			panic(http.ErrAbortHandler)
		},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := sidecartest.Config(t)
			calls := 0
			cfg.Discovery = sidecartest.ServeHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch calls++; {
				case calls == 1:
					first(w)
				case r.URL.RawQuery == "":
					json.NewEncoder(w).Encode(complete)
				default:
					<-r.Context().Done()
				}
			}))
			event := sidecartest.Next(t, startWatcher(t, cfg))
			if !event.isList(42) || len(event.list.Endpoints) != 2 {
				t.Errorf("got the event %v, want revision 42 with 2 endpoints", event)
			}
		})
	}
}

// TestInvalidListIsRejected checks that an invalid list is rejected as a whole and reported as a failed call, and that
// the next list is accepted.
func TestInvalidListIsRejected(t *testing.T) {
	endpoint := `{"id": "s-1", "host_port": "127.0.0.1:1", "phase": "ready"}`
	for name, text := range map[string]string{
		"empty body":              ``,
		"null":                    `null`,
		"an empty object":         `{}`,
		"no revision":             `{"complete": true, "members": [` + endpoint + `]}`,
		"no complete":             `{"revision": 42, "members": [` + endpoint + `]}`,
		"no members":              `{"revision": 42, "complete": true}`,
		"changes only":            `{"revision": 42, "complete": false, "members": [` + endpoint + `]}`,
		"an endpoint without id":  `{"revision": 42, "complete": true, "members": [` + endpoint + `, {"host_port": "127.0.0.1:2", "phase": "ready"}]}`,
		"an unknown phase":        `{"revision": 42, "complete": true, "members": [{"id": "s-1", "host_port": "127.0.0.1:1", "phase": "odd"}]}`,
		"no phase":                `{"revision": 42, "complete": true, "members": [{"id": "s-1", "host_port": "127.0.0.1:1"}]}`,
		"an address without port": `{"revision": 42, "complete": true, "members": [{"id": "s-1", "host_port": "1", "phase": "ready"}]}`,
		"members of another type": `{"revision": 42, "complete": true, "members": "s-1"}`,
		"truncated":               `{"revision": 42, "complete": true, "members": [` + endpoint,
		"two lists":               `{"revision": 42, "complete": true, "members": []}{}`,
	} {
		t.Run(name, func(t *testing.T) {
			valid := `{"revision": 42, "complete": true, "members": [` + endpoint + `]}`
			calls := 0
			cfg := sidecartest.Config(t)
			cfg.Balance.PolledDiscovery, cfg.KnownEndpoints.Complete = false, false
			cfg.Discovery = sidecartest.ServeHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch calls++; {
				case calls == 1:
					io.WriteString(w, text)
				case r.URL.RawQuery == "":
					io.WriteString(w, valid)
				default:
					<-r.Context().Done()
				}
			}))
			events := startWatcher(t, cfg)
			if event := sidecartest.Next(t, events); event.err == nil {
				t.Fatalf("got the event %v, want a failure", event)
			}
			if event := sidecartest.Next(t, events); !event.isList(42) || len(event.list.Endpoints) != 1 {
				t.Errorf("after the failure: got the event %v, want revision 42 with 1 endpoint", event)
			}
		})
	}
}
