package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

// frameBuilder collects frames to the adapter.
type frameBuilder struct{ bytes.Buffer }

// addFrame appends a frame.
func (b *frameBuilder) addFrame(clock float64, records ...recordBuilder) {
	b.Write(newFrame(clock, records))
}

// minimalSettings is a settings document with one class.
const minimalSettings = `{"classes": [{"effect": "read_like", "on_time_ms": 300, "hard_limit_ms": 1500}],
	"limits": {"max_attempts": 3}}`

// instanceStarted returns a record that starts an instance.
func instanceStarted(instance uint16, seed uint64, document string) recordBuilder {
	return newRecord(eventInstanceStarted, instance).u64(seed).u32(uint32(len(document))).text(document)
}

// serverTable returns a record with server table 0. The table has a number of endpoints, each in a different cell.
func serverTable(size int) recordBuilder {
	record := newRecord(eventServerTable, 0).u32(uint32(size))
	for i := range size {
		record = record.f64(0).u8(stateReady).u32(uint32(i + 1)).u16(80).f32(1).u16(uint16(i)).u8(0).u8(0)
	}
	return record
}

// cachedSnapshot returns a record with an endpoint update that refers to server table 0.
func cachedSnapshot(instance uint16) recordBuilder {
	return newRecord(eventEndpointUpdate, instance).u8(updateCachedSnapshot).u32(1).u16(0)
}

// request returns a record with a request whose deadline is in 1500 ms.
func request(instance uint16, id uint64) recordBuilder { return requestRecord(instance, id, 0, 1500) }

// runAdapter runs an adapter with frames and returns its replies.
func runAdapter(t *testing.T, frames *frameBuilder) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := run(&frames.Buffer, &out); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// countSentAttempts returns the number of attempts of each instance. The replies may contain only attempts and timers.
func countSentAttempts(t *testing.T, replies []byte) map[uint16]int {
	t.Helper()
	sent := map[uint16]int{}
	for len(replies) > 0 {
		size := binary.BigEndian.Uint32(replies)
		for actions := replies[replyHeaderSize:size]; len(actions) > 0; {
			switch binary.BigEndian.Uint16(actions) {
			case actionSendAttempt:
				sent[binary.BigEndian.Uint16(actions[2:])]++
				actions = actions[sendAttemptSize:]
			case actionSetTimer:
				actions = actions[setTimerSize:]
			default:
				t.Fatalf("got action %d, want only attempts (%d) and timers (%d)",
					binary.BigEndian.Uint16(actions), actionSendAttempt, actionSetTimer)
			}
		}
		replies = replies[size:]
	}
	return sent
}

// TestInstancesOfOneProcessShareNothing checks that three instances take the same actions in one process as in a
// process each. They would not if the instances of a process shared state.
func TestInstancesOfOneProcessShareNothing(t *testing.T) {
	const requestsPerInstance = 60
	runInstances := func(instances ...uint16) []byte {
		frames := &frameBuilder{}
		var started []recordBuilder
		for _, instance := range instances {
			started = append(started, instanceStarted(instance, uint64(instance)*7, minimalSettings), serverTable(5),
				cachedSnapshot(instance))
		}
		frames.addFrame(1000, started...)
		for id := range uint64(requestsPerInstance) {
			for _, instance := range instances {
				frames.addFrame(1001+float64(id), request(instance, id))
			}
		}
		return runAdapter(t, frames)
	}
	together := runInstances(1, 2, 3)
	for _, instance := range []uint16{1, 2, 3} {
		apart := runInstances(instance)
		sentTogether := countSentAttempts(t, together)[instance]
		sentApart := countSentAttempts(t, apart)[instance]
		if sentTogether != requestsPerInstance || sentApart != requestsPerInstance {
			t.Fatalf("instance %d: got %d attempts in a shared process and %d in its own, want %d in both",
				instance, sentTogether, sentApart, requestsPerInstance)
		}
		if !bytes.Equal(actionsOf(together, instance), actionsOf(apart, instance)) {
			t.Fatalf("instance %d: got different actions in a shared process than in its own, want the same", instance)
		}
	}
}

// actionsOf returns the attempts and timers of an instance. The replies may contain only attempts and timers.
func actionsOf(replies []byte, instance uint16) []byte {
	var out []byte
	for len(replies) > 0 {
		size := binary.BigEndian.Uint32(replies)
		for actions := replies[replyHeaderSize:size]; len(actions) > 0; {
			actionSize := setTimerSize
			if binary.BigEndian.Uint16(actions) == actionSendAttempt {
				actionSize = sendAttemptSize
			}
			if binary.BigEndian.Uint16(actions[2:]) == instance {
				out = append(out, actions[:actionSize]...)
			}
			actions = actions[actionSize:]
		}
		replies = replies[size:]
	}
	return out
}

// TestRestartWithinOneFrame checks that an instance can stop and start again within one frame.
func TestRestartWithinOneFrame(t *testing.T) {
	frames := &frameBuilder{}
	frames.addFrame(1000, instanceStarted(1, 7, minimalSettings), serverTable(3), cachedSnapshot(1), request(1, 5),
		newRecord(eventInstanceStopped, 1), instanceStarted(1, 8, minimalSettings), cachedSnapshot(1), request(1, 6))
	frames.addFrame(1001, newRecord(eventTimerFired, 1).u64(5)) // a timer of the first incarnation, which is ignored
	if sent := countSentAttempts(t, runAdapter(t, frames)); sent[1] != 2 {
		t.Fatalf("got %d attempts, want 2: one of each incarnation", sent[1])
	}
}

// TestInvalidSettingsAreReportedAsFault checks that invalid settings of an instance are reported as a fault and do
// not end the adapter.
func TestInvalidSettingsAreReportedAsFault(t *testing.T) {
	frames := &frameBuilder{}
	frames.addFrame(1000, instanceStarted(1, 7, `{"classes": []}`), serverTable(1), cachedSnapshot(1))
	out := runAdapter(t, frames)
	if len(out) < replyHeaderSize+actionHeaderSize || binary.BigEndian.Uint16(out[replyHeaderSize:]) != actionFault ||
		!strings.Contains(string(out), "no classes") {
		t.Fatalf("got reply %q, want a fault (%d) with \"no classes\"", out, actionFault)
	}
}

// TestInvalidInputEndsAdapter checks that after invalid input the adapter ends with an error and without a reply.
func TestInvalidInputEndsAdapter(t *testing.T) {
	notStarted := &frameBuilder{}
	notStarted.addFrame(1000, request(4, 1))
	infiniteClock := &frameBuilder{}
	infiniteClock.addFrame(math.Inf(1))
	for name, frames := range map[string]*frameBuilder{"instance not started": notStarted, "clock": infiniteClock} {
		var out bytes.Buffer
		if err := run(&frames.Buffer, &out); err == nil || out.Len() > 0 {
			t.Errorf("%s: got error %v and a reply of %d bytes, want an error and no reply", name, err, out.Len())
		}
	}
}
