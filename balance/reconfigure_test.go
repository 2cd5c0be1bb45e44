package balance

import (
	"testing"
)

// New settings apply to new requests only, open requests keep their settings, and the learned state of a class is kept
// when its index changes.
func TestReconfigure(t *testing.T) {
	read := Class{LatencyObjective: 100, Deadline: 1000, PriorityWeight: 1}
	pay := Class{Idempotency: NonIdempotent, LatencyObjective: 100, Deadline: 1000, PriorityWeight: 5}
	cfg := Config{Seed: 1, MaxAttempts: 3, Classes: []Class{read, pay}}
	b := New(cfg)
	b.Start(0)
	endpoints := []Endpoint{{ID: 1, Rating: 1}, {ID: 2, Rating: 1}, {ID: 3, Rating: 1}}
	b.Handle(0, EndpointUpdate{Kind: UpdateSnapshot, Endpoints: endpoints})
	b.Handle(1, Request{ID: 1, Class: 0, Remaining: 900})
	b.Handle(1, Request{ID: 2, Class: 1, Remaining: 900})
	b.classes[1].meanLatency = 42
	cfg.Classes, cfg.MaxAttempts = []Class{pay, read, read}, 1 // removes the old class 0
	b.Reconfigure(cfg, []int{1, -1, -1}, nil)
	if b.classes[0].meanLatency != 42 || b.classes[1].meanLatency != 0 {
		t.Errorf("got mean latencies %v and %v, want 42 and 0", b.classes[0].meanLatency, b.classes[1].meanLatency)
	}
	// failAttempt ends the first attempt of a request and returns the kinds of the actions except timers.
	failAttempt := func(id RequestID) (kinds []ActionKind) {
		actions, err := b.Handle(2, Outcome{Request: id, Result: ServerError, Duration: 1})
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range actions {
			if a.Kind != SetTimer {
				kinds = append(kinds, a.Kind)
			}
		}
		return kinds
	}
	if got := failAttempt(1); len(got) != 1 || got[0] != SendAttempt {
		t.Errorf("read from before the reconfiguration: got %v, want a retry", got)
	}
	if got := failAttempt(2); len(got) != 1 || got[0] != FailRequest {
		t.Errorf("payment from before the reconfiguration: got %v, want a failure", got)
	}
	b.Handle(3, Request{ID: 3, Class: 1, Remaining: 900})
	if got := failAttempt(3); len(got) != 1 || got[0] != RejectRequest {
		t.Errorf("new read with one attempt: got %v, want a rejection", got)
	}
	overridden := Request{ID: 4, Class: -1, ClassOverride: &read, MaxAttempts: 2, Remaining: 900}
	if _, err := b.Handle(4, overridden); err != nil {
		t.Errorf("request with its former class: got error %v, want none", err)
	}
	if got := failAttempt(4); len(got) != 1 || got[0] != SendAttempt {
		t.Errorf("request with its former class: got %v, want a retry", got)
	}
}

// Requests stay open during two reconfigurations that each remove a class. Their own class has no index in the state
// of the endpoints after that. They must be retried and finished like all others, and must not change the scores of
// classes that are added later.
func TestOpenRequestOutlastsReconfigurations(t *testing.T) {
	read := Class{LatencyObjective: 100, Deadline: 1000, PriorityWeight: 1}
	cfg := Config{Seed: 1, MaxAttempts: 3, Classes: []Class{read, read, read}}
	b := New(cfg)
	b.Start(0)
	b.Handle(0, EndpointUpdate{Kind: UpdateSnapshot,
		Endpoints: []Endpoint{{ID: 1, Rating: 1}, {ID: 2, Rating: 1}, {ID: 3, Rating: 1}}})
	b.Handle(1, Request{ID: 1, Class: 2, Remaining: 900})
	cfg.Classes = []Class{read, read}
	b.Reconfigure(cfg, []int{0, 1}, nil)
	b.Handle(2, Request{ID: 2, Class: -1, ClassOverride: &read, MaxAttempts: 3, Remaining: 900})
	cfg.Classes = []Class{read}
	b.Reconfigure(cfg, []int{0}, nil)
	for id := RequestID(1); id <= 2; id++ {
		actions, err := b.Handle(3, Outcome{Request: id, Result: ServerError, Duration: 1})
		if err != nil {
			t.Fatal(err)
		}
		sent := false
		for _, a := range actions {
			sent = sent || a.Kind == SendAttempt
		}
		if !sent {
			t.Errorf("request %d of a removed class: got %v, want a retry", id, actions)
		}
	}
	cfg.Classes = []Class{read, read, read, read} // the added classes are unrelated to the removed ones
	b.Reconfigure(cfg, []int{0, -1, -1, -1}, nil)
	for id := RequestID(1); id <= 2; id++ {
		b.Handle(4, Outcome{Request: id, Attempt: 1, Result: OK, Duration: 1})
	}
	for _, ep := range b.endpoints.list {
		for class, score := range ep.classScores[:4] {
			if score.updatedAt != longAgo {
				t.Errorf("endpoint %d: got a score of class %d at %v, want none", ep.ID, class, score.updatedAt)
			}
		}
	}
}
