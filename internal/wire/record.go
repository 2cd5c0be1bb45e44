package wire

import (
	"errors"
	"fmt"

	"cindersaddle/balance"
)

// endpointSize is the size of an entry of a server table, in bytes.
const endpointSize = 23

var errShortRecord = errors.New("record runs past the end of the frame")

// RecordKind says what a record is.
type RecordKind uint8

// The kinds of records.
const (
	recordIgnored   RecordKind = iota // for no instance
	InstanceStarted                   // Record.Start says how
	InstanceStopped                   // the instance was killed
	EventOccurred                     // Record.Event says which
)

// Record is what the simulator sends to one instance.
type Record struct {
	Instance uint16
	Kind     RecordKind
	Start    InstanceStart // of InstanceStarted
	Event    balance.Event // of EventOccurred
}

// InstanceStart is what an instance gets when it starts.
type InstanceStart struct {
	Seed     uint64
	Settings []byte // the settings document, for settings.Parse
}

// decodeRecord takes the next record off a frame.
func (r *Reader) decodeRecord(fields *cursor) (Record, error) {
	code, instance := fields.uint16(), fields.uint16()
	if fields.short {
		return Record{}, errShortRecord
	}
	record := Record{Instance: instance}
	err := r.decodeContent(code, fields, &record)
	if err == nil && fields.short {
		err = errShortRecord
	}
	if err != nil {
		return Record{}, fmt.Errorf("record code %d: %w", code, err)
	}
	return record, nil
}

// decodeContent decodes what follows the code and the instance of a record.
func (r *Reader) decodeContent(code uint16, fields *cursor, record *Record) error {
	switch code {
	case codeServerTable:
		return r.decodeTable(fields, record.Instance) // the number of the table stands in place of an instance
	case codePeerMessage:
		skipPeerMessage(fields)
		return nil
	case codeInstanceStarted:
		record.Kind = InstanceStarted
		record.Start = decodeInstanceStart(fields)
		return nil
	case codeInstanceStopped:
		record.Kind = InstanceStopped
		return nil
	default:
		var err error
		record.Kind = EventOccurred
		record.Event, err = r.decodeEvent(code, fields)
		return err
	}
}

func (r *Reader) decodeEvent(code uint16, fields *cursor) (balance.Event, error) {
	switch code {
	case codeRequest:
		return decodeRequest(fields), nil
	case codeTimerFired:
		return balance.TimerFired{Token: fields.uint64()}, nil
	case codeStreamStarted:
		return decodeStreamStarted(fields), nil
	case codeEndpointUpdate:
		return r.decodeEndpointUpdate(fields)
	case codeHealthCheckResult:
		return r.decodeHealthCheckResult(fields)
	case codeAttemptEnded:
		return r.decodeOutcome(fields)
	case codeClientGone:
		return balance.ClientGone{Request: fields.requestID()}, nil
	default:
		return nil, errors.New("unknown code")
	}
}

func decodeInstanceStart(fields *cursor) InstanceStart {
	seed := fields.uint64()
	settingsSize := fields.uint32()
	return InstanceStart{Seed: seed, Settings: fields.bytes(settingsSize)}
}

// skipPeerMessage skips the sender, the length and the bytes of a message from another instance.
func skipPeerMessage(fields *cursor) {
	fields.uint16()
	size := fields.uint16()
	fields.bytes(uint32(size))
}

// decodeTable stores a server table under its number.
func (r *Reader) decodeTable(fields *cursor, number uint16) error {
	if number >= maxTables {
		return fmt.Errorf("server table %d: want 0 to %d", number, maxTables-1)
	}
	count := fields.uint32()
	if uint64(count)*endpointSize > uint64(fields.remaining()) {
		return fmt.Errorf("%d entries: %w", count, errShortRecord)
	}
	table := make([]balance.Endpoint, count)
	for i := range table {
		var err error
		if table[i], err = decodeEndpoint(fields); err != nil {
			return fmt.Errorf("entry %d: %w", i, err)
		}
	}
	r.tables[number] = table
	r.tableSent[number] = true
	return nil
}

func decodeEndpoint(fields *cursor) (balance.Endpoint, error) {
	endpoint := balance.Endpoint{StartedAt: fields.milliseconds()}
	stateCode := fields.uint8()
	state, known := endpointStates[stateCode]
	if !known {
		return balance.Endpoint{}, fmt.Errorf("unknown state %d", stateCode)
	}
	endpoint.State = state
	endpoint.ID = fields.endpointID()
	endpoint.Rating = float64(fields.float32())
	endpoint.Cell = int(fields.uint16())
	endpoint.Zone = int(fields.uint8())
	endpoint.MachineType = int(fields.uint8())
	return endpoint, nil
}

// decodeEndpointUpdate decodes a list of servers, which refers to a table that was sent before.
func (r *Reader) decodeEndpointUpdate(fields *cursor) (balance.Event, error) {
	kindCode := fields.uint8()
	fields.uint32() // the version of the list
	table := fields.uint16()
	if fields.short {
		return nil, errShortRecord
	}
	kind, known := updateKinds[kindCode]
	if !known {
		return nil, fmt.Errorf("unknown kind of endpoint update %d", kindCode)
	}
	if kindCode == updateFailed {
		return balance.EndpointUpdate{Kind: kind}, nil
	}
	if table >= maxTables || !r.tableSent[table] {
		return nil, fmt.Errorf("server table %d was never sent", table)
	}
	return balance.EndpointUpdate{Kind: kind, Endpoints: r.tables[table]}, nil
}

func decodeRequest(fields *cursor) balance.Request {
	request := balance.Request{ID: fields.requestID(), Tenant: int(fields.uint16())}
	workHint := fields.float64()
	flags := fields.uint16()
	if flags&flagHasWorkHint != 0 {
		request.WorkHint = workHint
	}
	request.ClientRetry = flags&flagClientRetry != 0
	request.Write = flags&flagWrite != 0
	request.StickyKey = fields.uint64()
	request.Remaining = fields.milliseconds()
	request.Class = int(fields.uint16())
	return request
}

func decodeStreamStarted(fields *cursor) balance.StreamStarted {
	return balance.StreamStarted{
		Request:  fields.requestID(),
		Attempt:  int(fields.uint8()),
		Endpoint: fields.endpointID(),
		Latency:  fields.milliseconds(),
	}
}

func (r *Reader) decodeOutcome(fields *cursor) (balance.Event, error) {
	outcome := balance.Outcome{
		Request:  fields.requestID(),
		Attempt:  int(fields.uint8()),
		Endpoint: fields.endpointID(),
	}
	resultCode := fields.uint16()
	outcome.Duration = fields.milliseconds()
	outcome.Finished = fields.uint8() != 0
	outcome.LoadReport = r.decodeLoadReport(fields)
	var err error
	outcome.Result, err = decodeResult(resultCode, fields)
	return outcome, err
}

func (r *Reader) decodeHealthCheckResult(fields *cursor) (balance.Event, error) {
	result := balance.HealthCheckResult{Duration: fields.milliseconds()}
	resultCode := fields.uint16()
	result.Endpoint = fields.endpointID()
	result.LoadReport = r.decodeLoadReport(fields)
	var err error
	result.Result, err = decodeResult(resultCode, fields)
	return result, err
}

// decodeResult translates the code of a result that was read from fields. The code of a record that is cut short is
// not judged.
func decodeResult(code uint16, fields *cursor) (balance.Result, error) {
	result, known := results[code]
	if !known && !fields.short {
		return 0, fmt.Errorf("unknown result %d", code)
	}
	return result, nil
}

// decodeLoadReport reads a load report, which is valid until the next record.
func (r *Reader) decodeLoadReport(fields *cursor) []float32 {
	r.report = r.report[:0]
	for count := fields.uint8(); count > 0; count-- {
		r.report = append(r.report, fields.float32())
	}
	return r.report
}
