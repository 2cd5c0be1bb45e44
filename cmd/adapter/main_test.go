package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

// frameBuilder writes frames for the adapter.
type frameBuilder struct{ bytes.Buffer }

// add writes a frame.
func (b *frameBuilder) add(clock float64, records ...recordBuilder) {
	b.Write(newFrame(clock, records))
}

const profile = `{"classes": [{"effect": "read_like", "on_time_ms": 300, "hard_limit_ms": 1500}],
	"limits": {"max_attempts": 3}}`

// instanceStarted returns the record of an instance that starts.
func instanceStarted(instance uint16, seed uint64, profile string) recordBuilder {
	return newRecord(eventInstanceStarted, instance).u64(seed).u32(uint32(len(profile))).text(profile)
}

// serverTable returns server table 0 with a number of endpoints, each in a cell of its own.
func serverTable(size int) recordBuilder {
	record := newRecord(eventServerTable, 0).u32(uint32(size))
	for i := range size {
		record = record.f64(0).u8(stateReady).u32(uint32(i + 1)).u16(80).f32(1).u16(uint16(i)).u8(0).u8(0)
	}
	return record
}

// cachedSnapshot returns the record of an endpoint update that refers to server table 0.
func cachedSnapshot(instance uint16) recordBuilder {
	return newRecord(eventEndpointUpdate, instance).u8(updateCachedSnapshot).u32(1).u16(0)
}

// request returns the record of a request with a deadline of 1500 ms.
func request(instance uint16, id uint64) recordBuilder { return requestRecord(instance, id, 0, 1500) }

func mustRun(t *testing.T, frames *frameBuilder) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := run(&frames.Buffer, &out); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// countSentAttempts counts the attempts of each instance in replies whose actions are attempts and timers only.
func countSentAttempts(t *testing.T, replies []byte) map[uint16]int {
	t.Helper()
	sent := map[uint16]int{}
	for len(replies) > 0 {
		size := binary.BigEndian.Uint32(replies)
		for actions := replies[4:size]; len(actions) > 0; {
			switch binary.BigEndian.Uint16(actions) {
			case actionSendAttempt:
				sent[binary.BigEndian.Uint16(actions[2:])]++
				actions = actions[26:]
			case actionSetTimer:
				actions = actions[20:]
			default:
				t.Fatalf("unexpected action %d", binary.BigEndian.Uint16(actions))
			}
		}
		replies = replies[size:]
	}
	return sent
}

// TestInstancesOfOneProcessShareNothing checks that instances take the same actions in one process as in three.
func TestInstancesOfOneProcessShareNothing(t *testing.T) {
	play := func(instances ...uint16) []byte {
		frames := &frameBuilder{}
		var started []recordBuilder
		for _, instance := range instances {
			started = append(started, instanceStarted(instance, uint64(instance)*7, profile), serverTable(5),
				cachedSnapshot(instance))
		}
		frames.add(1000, started...)
		for id := range uint64(60) {
			for _, instance := range instances {
				frames.add(1001+float64(id), request(instance, id))
			}
		}
		return mustRun(t, frames)
	}
	together := play(1, 2, 3)
	for _, instance := range []uint16{1, 2, 3} {
		apart := play(instance)
		sentTogether := countSentAttempts(t, together)[instance]
		sentApart := countSentAttempts(t, apart)[instance]
		if sentTogether != 60 || sentApart != 60 {
			t.Fatalf("instance %d sent %d attempts in one process, %d in its own", instance, sentTogether, sentApart)
		}
		if !bytes.Equal(actionsOf(together, instance), actionsOf(apart, instance)) {
			t.Fatalf("instance %d acts differently in one process and in three", instance)
		}
	}
}

// actionsOf returns one instance's attempts and timers in replies.
func actionsOf(replies []byte, instance uint16) []byte {
	var out []byte
	for len(replies) > 0 {
		size := binary.BigEndian.Uint32(replies)
		for actions := replies[4:size]; len(actions) > 0; {
			actionSize := 20
			if binary.BigEndian.Uint16(actions) == actionSendAttempt {
				actionSize = 26
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
	frames.add(1000, instanceStarted(1, 7, profile), serverTable(3), cachedSnapshot(1), request(1, 5),
		newRecord(eventInstanceStopped, 1), instanceStarted(1, 8, profile), cachedSnapshot(1), request(1, 6))
	frames.add(1001, newRecord(eventTimerFired, 1).u64(5)) // a timer of the earlier incarnation: ignored
	if n := countSentAttempts(t, mustRun(t, frames)); n[1] != 2 {
		t.Fatalf("%d attempts, want one of each incarnation", n[1])
	}
}

// TestInvalidSettingsAreReportedAsFault checks that an instance with invalid settings is a fault and not the end of the
// adapter.
func TestInvalidSettingsAreReportedAsFault(t *testing.T) {
	frames := &frameBuilder{}
	frames.add(1000, instanceStarted(1, 7, `{"classes": []}`), serverTable(1), cachedSnapshot(1))
	out := mustRun(t, frames)
	if len(out) < 8 || binary.BigEndian.Uint16(out[4:]) != actionFault || !strings.Contains(string(out), "no classes") {
		t.Fatalf("reply %q", out)
	}
}

// TestInvalidInputEndsAdapter checks that invalid input ends the adapter with an error and without a reply.
func TestInvalidInputEndsAdapter(t *testing.T) {
	notStarted := &frameBuilder{}
	notStarted.add(1000, request(4, 1))
	infiniteClock := &frameBuilder{}
	infiniteClock.add(math.Inf(1))
	for name, frames := range map[string]*frameBuilder{"instance not started": notStarted, "clock": infiniteClock} {
		var out bytes.Buffer
		if err := run(&frames.Buffer, &out); err == nil || out.Len() > 0 {
			t.Errorf("%s: error %v, %d bytes of reply", name, err, out.Len())
		}
	}
}
