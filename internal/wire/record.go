package wire

import "cindersaddle/balance"

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
		return Record{}, &CodeError{Code: code, Err: err}
	}
	return record, nil
}

// decodeContent decodes what follows the code and the instance of a record.
func (r *Reader) decodeContent(code uint16, fields *cursor, record *Record) error {
	switch code {
	case codeServerTable:
		return r.tables.decode(fields, record.Instance) // the number of the table stands in place of an instance
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

// decodeInstanceStart decodes the seed and the settings of an instance.
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
