package balance

import (
	"testing"
)

// New settings apply to new requests, open ones keep theirs, and what was learned of a class follows its new
// index.
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
	cfg.Classes, cfg.MaxAttempts = []Class{pay, read, read}, 1 // the first is removed
	b.Reconfigure(cfg, []int{1, -1, -1}, nil)
	if b.classes[0].meanLatency != 42 || b.classes[1].meanLatency != 0 {
		t.Errorf("mean latencies %v and %v", b.classes[0].meanLatency, b.classes[1].meanLatency)
	}
	failing := func(id RequestID) (kinds []ActionKind) {
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
	if got := failing(1); len(got) != 1 || got[0] != SendAttempt {
		t.Errorf("an earlier read is not retried: %v", got)
	}
	if got := failing(2); len(got) != 1 || got[0] != FailRequest {
		t.Errorf("an earlier payment: %v", got)
	}
	b.Handle(3, Request{ID: 3, Class: 1, Remaining: 900})
	if got := failing(3); len(got) != 1 || got[0] != RejectRequest {
		t.Errorf("a new read with one attempt: %v", got)
	}
	if _, err := b.Handle(4, Request{ID: 4, Class: -1, ClassOverride: &read, MaxAttempts: 2, Remaining: 900}); err != nil {
		t.Errorf("a request with its former class: %v", err)
	}
	if got := failing(4); len(got) != 1 || got[0] != SendAttempt {
		t.Errorf("a request with its former class is not retried: %v", got)
	}
}

// A request stays open over two reconfigurations that each remove a class. Its own class has no index in the
// state of endpoints any more: it is answered like any other, and does not affect the figures of new classes.
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
			t.Errorf("request %d of a removed class is not retried: %v", id, actions)
		}
	}
	cfg.Classes = []Class{read, read, read, read} // the new ones are unrelated to the removed ones
	b.Reconfigure(cfg, []int{0, -1, -1, -1}, nil)
	for id := RequestID(1); id <= 2; id++ {
		b.Handle(4, Outcome{Request: id, Attempt: 1, Result: OK, Duration: 1})
	}
	for _, ep := range b.endpoints.list {
		for c, v := range ep.classScores[:4] {
			if v.updatedAt != longAgo {
				t.Errorf("endpoint %d: class %d has a score of %v", ep.ID, c, v.updatedAt)
			}
		}
	}
}
