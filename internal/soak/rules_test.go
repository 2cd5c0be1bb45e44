package soak

import (
	"testing"
	"time"

	"cindersaddle/internal/standin"
)

// TestReturnOfAServerCountsAtTheSameMoment checks that a server may be used which a new discovery tells to be gone and ready again
// at one moment, and only if ready comes last.
func TestReturnOfAServerCountsAtTheSameMoment(t *testing.T) {
	began := time.Now()
	at := began.Add(time.Second)
	for _, test := range []struct {
		phases []string
		broken bool
	}{
		{[]string{"gone", "ready"}, false}, {[]string{"ready", "gone"}, true},
	} {
		records := &Records{Plan: &Plan{Settings: defaultSettings(), Length: time.Second, Servers: 1}, BeganAt: began}
		for i := range 40 { // so many, and in no order, that an unstable sort mixes them
			records.Told = append(records.Told, Told{Sidecar: "n1", Server: "s-0", Phase: "ready", HadAt: at, At: at.Add(time.Duration(i*7919%41-20) * time.Millisecond)})
			for _, phase := range test.phases {
				records.Told = append(records.Told, Told{Sidecar: "n0", Server: "s-0", Phase: phase, HadAt: at, At: at})
			}
		}
		sent := at.Add(time.Second)
		request := standin.Request{TraceID: "n0.1.x", Deadline: time.Second}
		records.Exchanges = []standin.Exchange{{Request: request, Sidecar: "n0", BeganAt: sent, SentAt: sent, EndedAt: sent, Status: 200}}
		records.Attempts = []standin.Attempt{{Server: "s-0", TraceID: request.TraceID, FirstByteAt: sent, LastByteAt: sent, EndedAt: sent, End: standin.EndServed}}
		if broken := len(Judge(records)) > 0; broken != test.broken {
			t.Errorf("%v: broken %v, want %v", test.phases, broken, test.broken)
		}
	}
}

// TestOverlapOfAttempts checks that attempts count as open at one time only if they are, whichever server recorded its own first.
func TestOverlapOfAttempts(t *testing.T) {
	began := time.Now()
	attempt := func(from, to time.Duration) *standin.Attempt {
		return &standin.Attempt{FirstByteAt: began.Add(from), EndedAt: began.Add(to)}
	}
	open := &standin.Attempt{FirstByteAt: began}
	for name, test := range map[string]struct {
		a, b *standin.Attempt
		want time.Duration
	}{
		"one after the other":     {attempt(0, time.Second), attempt(2*time.Second, 3*time.Second), -time.Second},
		"within":                  {attempt(0, time.Second), attempt(300*time.Millisecond, 500*time.Millisecond), 200 * time.Millisecond},
		"recorded later, shorter": {attempt(0, 80*time.Millisecond), attempt(time.Microsecond, 2*time.Microsecond), time.Microsecond},
		"one without end":         {open, attempt(time.Second, 3*time.Second), 2 * time.Second},
	} {
		for _, got := range []time.Duration{overlap(test.a, test.b), overlap(test.b, test.a)} {
			if got != test.want {
				t.Errorf("%s: overlap %v, want %v", name, got, test.want)
			}
		}
	}
}

// TestServerIsReadyOnceThatCanBeKnown checks that a server may be used from the moment at which a new discovery has it as ready,
// although that counts as known only later.
func TestServerIsReadyOnceThatCanBeKnown(t *testing.T) {
	began := time.Now()
	at := func(after time.Duration) time.Time { return began.Add(after) }
	for _, test := range []struct {
		sent   time.Time
		broken bool
	}{
		{at(2 * time.Second), true}, {at(4 * time.Second), false},
	} {
		records := &Records{Plan: &Plan{Settings: defaultSettings(), Length: time.Second, Servers: 1}, BeganAt: began}
		records.Told = []Told{
			{Sidecar: "n0", Server: "s-0", Phase: "gone", HadAt: at(time.Second), At: at(time.Second)},
			{Sidecar: "n0", Server: "s-0", Phase: "ready", HadAt: at(3 * time.Second), At: at(7 * time.Second)},
		}
		request := standin.Request{TraceID: "n0.1.x", Deadline: time.Second}
		records.Exchanges = []standin.Exchange{{Request: request, Sidecar: "n0", BeganAt: test.sent, SentAt: test.sent, EndedAt: test.sent, Status: 200}}
		records.Attempts = []standin.Attempt{{Server: "s-0", TraceID: request.TraceID, FirstByteAt: test.sent, LastByteAt: test.sent, EndedAt: test.sent, End: standin.EndServed}}
		if broken := len(Judge(records)) > 0; broken != test.broken {
			t.Errorf("sent %v after the beginning: broken %v, want %v", test.sent.Sub(began), broken, test.broken)
		}
	}
}
