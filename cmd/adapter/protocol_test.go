package main

import (
	"encoding/binary"
	"fmt"
	"math"
)

// Codes of the records that are sent to the adapter.
const (
	eventServerTable       = 1000
	eventRequest           = 1010
	eventTimerFired        = 1020
	eventStreamStarted     = 1030
	eventEndpointUpdate    = 1040
	eventPeerMessage       = 1050
	eventInstanceStopped   = 1060
	eventInstanceStarted   = 1070
	eventHealthCheckResult = 1080
	eventAttemptEnded      = 1090
	eventClientGone        = 1100
)

// Codes of the actions that the adapter returns.
const (
	actionSendAttempt    = 1000
	actionRejectRequest  = 1010
	actionFailRequest    = 1020
	actionCancelAttempt  = 1030
	actionSetTimer       = 1040
	actionCheckHealth    = 1050
	actionCloseIdleConns = 1060
	actionPeerMessage    = 1070
	actionLog            = 1080
	actionFault          = 1090
	actionWatchEndpoints = 1100
	actionFetchEndpoints = 1110
)

// Results of attempts and health checks.
const (
	resultOK            = 0
	resultCancelled     = 1
	resultTimedOut      = 4
	resultRejected      = 8
	resultNotAttempted  = 9
	resultConnReset     = 10
	resultServerError   = 13
	resultConnectFailed = 14
)

// Kinds of an endpoint update.
const (
	updateSnapshot       = 0
	updateCachedSnapshot = 1
	updateFailed         = 2
	updateDelta          = 3
)

// Sizes, in bytes.
const (
	frameHeaderSize  = 16
	replyHeaderSize  = 4
	actionHeaderSize = 4  // code and instance
	sendAttemptSize  = 26 // with code and instance
	setTimerSize     = 20 // with code and instance
)

// Offsets in the body of an action, in bytes. The other fields begin at offset 0.
const (
	sendAttemptDeadlineOffset = 8
	sendAttemptEndpointOffset = 16
	cancelAttemptNumberOffset = 8
	timerDelayOffset          = 8
)

// actionBodySizes holds the size of each action after code and instance, in bytes and without the content of a text.
var actionBodySizes = map[uint16]int{
	actionSendAttempt: 22, actionRejectRequest: 16, actionFailRequest: 8, actionCancelAttempt: 9, actionSetTimer: 16,
	actionCheckHealth: 6, actionCloseIdleConns: 6, actionPeerMessage: 6, actionLog: 2, actionFault: 2,
	actionWatchEndpoints: 1, actionFetchEndpoints: 0,
}

// recordBuilder is a record to the adapter, to which fields are appended big-endian and without padding.
type recordBuilder []byte

func newRecord(code, instance uint16) recordBuilder { return recordBuilder{}.u16(code).u16(instance) }

func (b recordBuilder) u8(v uint8) recordBuilder    { return append(b, v) }
func (b recordBuilder) u16(v uint16) recordBuilder  { return binary.BigEndian.AppendUint16(b, v) }
func (b recordBuilder) u32(v uint32) recordBuilder  { return binary.BigEndian.AppendUint32(b, v) }
func (b recordBuilder) u64(v uint64) recordBuilder  { return binary.BigEndian.AppendUint64(b, v) }
func (b recordBuilder) f64(v float64) recordBuilder { return b.u64(math.Float64bits(v)) }
func (b recordBuilder) f32(v float32) recordBuilder { return b.u32(math.Float32bits(v)) }

// address appends the IPv4 address and the port of an endpoint.
func (b recordBuilder) address(endpoint uint64) recordBuilder {
	return b.u32(uint32(endpoint >> 16)).u16(uint16(endpoint))
}

// text appends the bytes of a string without a length.
func (b recordBuilder) text(s string) recordBuilder { return append(b, s...) }

// report appends a load report.
func (b recordBuilder) report(values []float32) recordBuilder {
	b = b.u8(uint8(len(values)))
	for _, v := range values {
		b = b.f32(v)
	}
	return b
}

// newFrame returns a frame that consists of a header and records.
func newFrame(clock float64, records []recordBuilder) []byte {
	size := frameHeaderSize
	for _, record := range records {
		size += len(record)
	}
	frame := recordBuilder{}.u32(uint32(len(records))).u32(uint32(size)).f64(clock)
	for _, record := range records {
		frame = append(frame, record...)
	}
	return frame
}

// actionRecord is an action of a reply. The body consists of all bytes after code and instance, including any text.
type actionRecord struct {
	code, instance uint16
	body           []byte
}

func (a actionRecord) u64(offset int) uint64  { return binary.BigEndian.Uint64(a.body[offset:]) }
func (a actionRecord) f64(offset int) float64 { return math.Float64frombits(a.u64(offset)) }

// address returns the endpoint at an offset in the body.
func (a actionRecord) address(offset int) uint64 {
	return uint64(binary.BigEndian.Uint32(a.body[offset:]))<<16 | uint64(binary.BigEndian.Uint16(a.body[offset+4:]))
}

// parseReply splits a reply, given without its header, into actions.
func parseReply(records []byte) ([]actionRecord, error) {
	var actions []actionRecord
	for len(records) > 0 {
		if len(records) < actionHeaderSize {
			return nil, fmt.Errorf("got %d bytes after the last action, want none", len(records))
		}
		code := binary.BigEndian.Uint16(records)
		size, known := actionBodySizes[code]
		if !known {
			return nil, fmt.Errorf("unknown action code %d", code)
		}
		end := actionHeaderSize + size
		if len(records) >= end && (code == actionLog || code == actionFault || code == actionPeerMessage) {
			end += int(binary.BigEndian.Uint16(records[end-2:]))
		}
		if len(records) < end {
			return nil, fmt.Errorf("action %d is truncated: got %d bytes, want %d", code, len(records), end)
		}
		actions = append(actions, actionRecord{code, binary.BigEndian.Uint16(records[2:]), records[actionHeaderSize:end]})
		records = records[end:]
	}
	return actions, nil
}
