package main

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"slices"
	"strings"
)

// Offsets in a record to the adapter, in bytes from the code of the record.
const (
	updateKindOffset    = 4  // in eventEndpointUpdate
	attemptResultOffset = 19 // in eventAttemptEnded
)

// transcript counts the records that the adapter reads and the actions that it writes, and hashes the actions.
type transcript struct {
	repliesHash                       hash.Hash
	frames                            int            // number of replies
	events, actions, results, updates map[uint16]int // number of occurrences by code
}

// newTranscript returns an empty transcript.
func newTranscript() *transcript {
	return &transcript{sha256.New(), 0, map[uint16]int{}, map[uint16]int{}, map[uint16]int{}, map[uint16]int{}}
}

// addRecords counts the records of a frame, and the results and kinds of endpoint updates in them.
func (t *transcript) addRecords(records []recordBuilder) {
	for _, record := range records {
		code := binary.BigEndian.Uint16(record)
		t.events[code]++
		switch code {
		case eventAttemptEnded:
			t.results[binary.BigEndian.Uint16(record[attemptResultOffset:])]++
		case eventEndpointUpdate:
			t.updates[uint16(record[updateKindOffset])]++
		}
	}
}

// addReply hashes a reply: the number of its actions, then each action without the texts of logs and faults.
func (t *transcript) addReply(reply []actionRecord) {
	t.frames++
	t.repliesHash.Write(recordBuilder{}.u32(uint32(len(reply))))
	for _, action := range reply {
		t.actions[action.code]++
		t.repliesHash.Write(newRecord(action.code, action.instance))
		if action.code != actionLog && action.code != actionFault {
			t.repliesHash.Write(action.body)
		}
	}
}

// line returns a line of the golden file. Its words must not change, because the golden file contains them.
func (t *transcript) line(name string) string {
	return fmt.Sprintf("%s batches %d events %s results %s actions %s sha256 %x",
		name, t.frames, formatCounts(t.events), formatCounts(t.results), formatCounts(t.actions), t.repliesHash.Sum(nil))
}

// formatCounts formats the number of occurrences of each code, sorted by code.
func formatCounts(countByCode map[uint16]int) string {
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

// merge adds the counts of another transcript. It leaves the hash as it is.
func (t *transcript) merge(other *transcript) {
	for _, pair := range [][2]map[uint16]int{{t.events, other.events}, {t.actions, other.actions},
		{t.results, other.results}, {t.updates, other.updates}} {
		for code, n := range pair[1] {
			pair[0][code] += n
		}
	}
}
