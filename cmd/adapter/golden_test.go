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

// TestGolden detects changes of the bytes that the adapter writes, except in the texts of logs and faults. It compares
// hashes of the replies with a golden file. The events that the adapter receives are generated in simulation_test.go.
//
// protocol_test.go defines the codes and layouts of the protocol a second time, so that a change of package wire makes
// the test fail. The golden file is recorded on arm64 without fused multiplications and additions, like that of package
// balance.

var updateGolden = flag.Bool("update", false, "rewrite testdata/golden.txt")

const (
	goldenFile   = "testdata/golden.txt"
	goldenCases  = 12
	goldenFrames = 400 // frames of each case
)

// eventCodes holds the codes of all records to the adapter. Each must occur in the test.
var eventCodes = []uint16{
	eventServerTable, eventRequest, eventTimerFired, eventStreamStarted, eventEndpointUpdate, eventPeerMessage,
	eventInstanceStopped, eventInstanceStarted, eventHealthCheckResult, eventAttemptEnded, eventClientGone,
}

// resultCodes holds the codes of all results. Each must occur in the test.
var resultCodes = []uint16{
	resultOK, resultCancelled, resultTimedOut, resultRejected, resultNotAttempted, resultConnReset, resultServerError,
	resultConnectFailed,
}

// actionCodes holds the codes of the actions that the adapter takes. Each must occur in the test. The adapter never
// closes idle connections, sends messages to peers or fetches endpoint lists.
var actionCodes = []uint16{
	actionSendAttempt, actionRejectRequest, actionFailRequest, actionCancelAttempt, actionSetTimer, actionCheckHealth,
	actionLog, actionFault, actionWatchEndpoints,
}

// updateKinds holds the codes of all kinds of endpoint updates. Each must occur in the test.
var updateKinds = []uint16{updateSnapshot, updateCachedSnapshot, updateFailed, updateDelta}

// runCase runs the adapter with a simulation, which reacts to the actions of the adapter.
func runCase(t *testing.T, number int) *transcript {
	t.Helper()
	sim, recorded, process := newSimulation(number), newTranscript(), startAdapter()
	for frame := range goldenFrames {
		records := sim.nextRecords(frame)
		recorded.addRecords(records)
		raw, err := process.exchange(newFrame(sim.clock, records))
		if err != nil {
			t.Fatalf("case %d, frame %d: %v; run: %v", number, frame, err, process.stop())
		}
		reply, err := parseReply(raw)
		if err != nil {
			t.Fatalf("case %d, frame %d: %v", number, frame, err)
		}
		recorded.addReply(reply)
		for _, action := range reply {
			if problem := sim.unknownReference(action); problem != "" {
				t.Fatalf("case %d, frame %d: action %d %x: %s", number, frame, action.code, action.body, problem)
			}
			sim.applyAction(action)
		}
	}
	if err := process.stop(); err != nil {
		t.Fatalf("case %d: run: %v", number, err)
	}
	if reported := recorded.actions[actionFault]; reported != sim.expectedFaults {
		t.Errorf("case %d: got %d reported faults, want %d", number, reported, sim.expectedFaults)
	}
	return recorded
}

// malformedRecords returns records that cannot be decoded or are for an instance that has not started. Each ends the
// adapter with an error. The golden file contains the names.
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

// runMalformedCase runs the adapter with a valid frame and then with a frame that contains a valid request and a
// malformed record.
func runMalformedCase(t *testing.T, malformed recordBuilder) *transcript {
	t.Helper()
	sim, recorded, process := newSimulation(0), newTranscript(), startAdapter()
	document := sim.settingsDocument(0)
	start := []recordBuilder{
		newRecord(eventInstanceStarted, 3).u64(7).u32(uint32(len(document))).text(document),
		sim.serverTable(0, sim.endpoints), newRecord(eventEndpointUpdate, 3).u8(updateCachedSnapshot).u32(1).u16(0),
	}
	for i, records := range [][]recordBuilder{start, {requestRecord(3, 77, 0, 500), malformed}} {
		recorded.addRecords(records)
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
		recorded.addReply(reply)
	}
	if err := process.stop(); err == nil {
		t.Error("malformed record: run returned no error, want one")
	}
	return recorded
}

// checkCoverage fails the test if a code did not occur, so that the golden file does not lose cases unnoticed.
func checkCoverage(t *testing.T, total *transcript) {
	t.Helper()
	for _, required := range []struct {
		name   string
		codes  []uint16
		counts map[uint16]int
	}{{"event", eventCodes, total.events}, {"action", actionCodes, total.actions},
		{"result", resultCodes, total.results}, {"kind of endpoint update", updateKinds, total.updates}} {
		for _, code := range required.codes {
			if required.counts[code] == 0 {
				t.Errorf("got no %s %d in all cases, want at least one", required.name, code)
			}
		}
	}
}

// goldenLines runs all cases and returns the lines of the golden file.
func goldenLines(t *testing.T) []string {
	t.Helper()
	var lines []string
	total := newTranscript()
	for number := range goldenCases {
		recorded := runCase(t, number)
		total.merge(recorded)
		lines = append(lines, recorded.line(fmt.Sprintf("case %d", number)))
	}
	checkCoverage(t, total)
	malformed := malformedRecords()
	var names []string
	for name := range malformed {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		lines = append(lines, runMalformedCase(t, malformed[name]).line("wrong "+name))
	}
	return lines
}

// TestGolden compares the hashes of all replies with the golden file.
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
		t.Fatalf("got %d lines, want %d as in %s", len(lines), len(want), goldenFile)
	}
	for i := range lines {
		if lines[i] != want[i] {
			t.Errorf("got  %s\nwant %s", lines[i], want[i])
		}
	}
}
