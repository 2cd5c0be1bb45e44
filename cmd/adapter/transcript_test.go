package main

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"slices"
	"strings"
)

// transcript counts what the adapter read and wrote, and hashes what it wrote.
type transcript struct {
	sum                               hash.Hash
	frames                            int
	events, actions, results, updates map[uint16]int
}

func newTranscript() *transcript {
	return &transcript{sha256.New(), 0, map[uint16]int{}, map[uint16]int{}, map[uint16]int{}, map[uint16]int{}}
}

// addRecords counts the records of a frame, the results and the kinds of endpoint updates in it.
func (t *transcript) addRecords(records []recordBuilder) {
	for _, record := range records {
		code := binary.BigEndian.Uint16(record)
		t.events[code]++
		switch code {
		case eventAttemptEnded:
			t.results[binary.BigEndian.Uint16(record[19:])]++
		case eventEndpointUpdate:
			t.updates[uint16(record[4])]++
		}
	}
}

// addReply hashes a reply: the number of its records, then each. The texts of logs and faults are left out.
func (t *transcript) addReply(reply []actionRecord) {
	t.frames++
	t.sum.Write(recordBuilder{}.u32(uint32(len(reply))))
	for _, action := range reply {
		t.actions[action.code]++
		t.sum.Write(newRecord(action.code, action.instance))
		if action.code != actionLog && action.code != actionFault {
			t.sum.Write(action.body)
		}
	}
}

// line returns the entry of the golden file.
func (t *transcript) line(name string) string {
	return fmt.Sprintf("%s batches %d events %s results %s actions %s sha256 %x",
		name, t.frames, counts(t.events), counts(t.results), counts(t.actions), t.sum.Sum(nil))
}

// counts formats numbers by code, in the order of the codes.
func counts(countByCode map[uint16]int) string {
	var codes []uint16
	for code := range countByCode {
		codes = append(codes, code)
	}
	slices.Sort(codes)
	var parts []string
	for _, code := range codes {
		parts = append(parts, fmt.Sprintf("%d:%d", code, countByCode[code]))
	}
	return "[" + strings.Join(parts, " ") + "]"
}

// merge adds the counts of another transcript.
func (t *transcript) merge(other *transcript) {
	for _, pair := range [][2]map[uint16]int{{t.events, other.events}, {t.actions, other.actions},
		{t.results, other.results}, {t.updates, other.updates}} {
		for code, n := range pair[1] {
			pair[0][code] += n
		}
	}
}
