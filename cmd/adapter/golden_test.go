package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"testing"
)

// This file records the byte streams that the adapter writes. All codes and layouts of the protocol are written out again
// in protocol_test.go, so that a change of package wire shows. The hashes depend on bytes only, not on names or on the wording of texts.
// The events that are played come from simulation_test.go. Numbers depend on the floating point of the processor: the
// golden file was made on amd64.

var updateGolden = flag.Bool("update", false, "rewrite testdata/golden.txt")

const (
	goldenFile   = "testdata/golden.txt"
	goldenCases  = 12
	goldenFrames = 400 // in each case
)

// eventCodes are all the codes of records; each must be played.
var eventCodes = []uint16{eventServerTable, eventRequest, eventTimerFired, eventStreamStarted, eventEndpointUpdate,
	eventPeerMessage, eventInstanceStopped, eventInstanceStarted, eventHealthCheckResult, eventAttemptEnded, eventClientGone}

// resultCodes are all the results; each must be played.
var resultCodes = []uint16{resultOK, resultCancelled, resultTimedOut, resultRejected, resultNotAttempted, resultConnReset,
	resultServerError, resultConnectFailed}

// actionCodes are the actions that the adapter is known to take; it never closes connections, sends messages to peers or
// fetches lists.
var actionCodes = []uint16{actionSendAttempt, actionRejectRequest, actionFailRequest, actionCancelAttempt, actionSetTimer,
	actionCheckHealth, actionLog, actionFault, actionWatchEndpoints}

// updateKinds are all the kinds of endpoint updates; each must be played.
var updateKinds = []uint16{updateSnapshot, updateCachedSnapshot, updateFailed, updateDelta}

// playCase plays one case, in which the simulation reacts to the actions of the adapter.
func playCase(t *testing.T, number int) *transcript {
	t.Helper()
	sim, played, process := newSimulation(number), newTranscript(), startAdapter()
	for frame := range goldenFrames {
		records := sim.nextRecords(frame)
		played.addRecords(records)
		raw, err := process.exchange(newFrame(sim.clock, records))
		if err != nil {
			t.Fatalf("case %d, frame %d: %v; run: %v", number, frame, err, process.stop())
		}
		reply, err := parseReply(raw)
		if err != nil {
			t.Fatalf("case %d, frame %d: %v", number, frame, err)
		}
		played.addReply(reply)
		for _, action := range reply {
			if problem := sim.problem(action); problem != "" {
				t.Fatalf("case %d, frame %d: action %d %x: %s", number, frame, action.code, action.body, problem)
			}
			sim.apply(action)
		}
	}
	if err := process.stop(); err != nil {
		t.Fatalf("case %d: run: %v", number, err)
	}
	if reported := played.actions[actionFault]; reported != sim.expectedFaults {
		t.Errorf("case %d: %d faults reported, want %d", number, reported, sim.expectedFaults)
	}
	return played
}

// malformedRecords returns records that cannot be decoded or are for an instance that has not started: each ends the
// adapter.
func malformedRecords() map[string]recordBuilder {
	const instance, endpoint = 3, 0x0a124a07232b
	return map[string]recordBuilder{
		"unknown-event":     newRecord(1111, instance),
		"unknown-result":    newRecord(eventAttemptEnded, instance).u64(1).u8(0).address(endpoint).u16(2).f64(1).u8(0).u8(0),
		"unknown-list-kind": newRecord(eventEndpointUpdate, instance).u8(4).u32(1).u16(0),
		"unknown-condition": newRecord(eventServerTable, 1).u32(1).f64(0).u8(3).address(endpoint).f32(1).u16(0).u8(0).u8(0),
		"table-not-sent":    newRecord(eventEndpointUpdate, instance).u8(updateSnapshot).u32(1).u16(9),
		"table-beyond-15":   newRecord(eventServerTable, 16).u32(0),
		"alarm-cut-short":   newRecord(eventTimerFired, instance).u32(7),
		"not-begun":         newRecord(eventTimerFired, instance+1).u64(7),
	}
}

// playMalformed plays a valid frame, then one with a valid request and a malformed record.
func playMalformed(t *testing.T, malformed recordBuilder) *transcript {
	t.Helper()
	sim, played, process := newSimulation(0), newTranscript(), startAdapter()
	profile := sim.profile(0)
	start := []recordBuilder{
		newRecord(eventInstanceStarted, 3).u64(7).u32(uint32(len(profile))).text(profile),
		sim.serverTable(0, sim.endpoints), newRecord(eventEndpointUpdate, 3).u8(updateCachedSnapshot).u32(1).u16(0),
	}
	for i, records := range [][]recordBuilder{start, {requestRecord(3, 77, 0, 500), malformed}} {
		played.addRecords(records)
		raw, err := process.exchange(newFrame(sim.clock+float64(i), records))
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		reply, err := parseReply(raw)
		if err != nil {
			t.Fatal(err)
		}
		played.addReply(reply)
	}
	if err := process.stop(); err == nil {
		t.Error("run returned no error")
	}
	return played
}

// checkCoverage fails where a code was not played, so that the golden file cannot lose cases unnoticed.
func checkCoverage(t *testing.T, all *transcript) {
	t.Helper()
	for _, need := range []struct {
		what  string
		codes []uint16
		seen  map[uint16]int
	}{{"event", eventCodes, all.events}, {"action", actionCodes, all.actions},
		{"result", resultCodes, all.results}, {"kind of endpoint update", updateKinds, all.updates}} {
		for _, code := range need.codes {
			if need.seen[code] == 0 {
				t.Errorf("%s %d does not occur", need.what, code)
			}
		}
	}
}

// goldenLines plays all cases and returns the lines of the golden file.
func goldenLines(t *testing.T) []string {
	t.Helper()
	var lines []string
	all := newTranscript()
	for number := range goldenCases {
		played := playCase(t, number)
		all.merge(played)
		lines = append(lines, played.line(fmt.Sprintf("case %d", number)))
	}
	checkCoverage(t, all)
	malformed := malformedRecords()
	var names []string
	for name := range malformed {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		lines = append(lines, playMalformed(t, malformed[name]).line("wrong "+name))
	}
	return lines
}

// TestGolden compares all replies with those of the golden file.
func TestGolden(t *testing.T) {
	lines := goldenLines(t)
	if *updateGolden {
		if err := os.WriteFile(goldenFile, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	data, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSuffix(string(data), "\n"), "\n")
	if len(want) != len(lines) {
		t.Fatalf("%d lines, the golden file has %d", len(lines), len(want))
	}
	for i := range lines {
		if lines[i] != want[i] {
			t.Errorf("got  %s\nwant %s", lines[i], want[i])
		}
	}
}
