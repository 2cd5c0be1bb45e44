package wire

import "cindersaddle/balance"

// RecordKind says what a record reports.
type RecordKind uint8

// The kinds of records.
const (
	recordIgnored   RecordKind = iota // a server table or a peer message, not passed to the caller of Read
	InstanceStarted                   // an instance started; Record.Start is set
	InstanceStopped                   // an instance was killed
	EventOccurred                     // an event for an instance; Record.Event is set
)

// Record is a record from the simulator for one instance.
type Record struct {
	Instance uint16
	Kind     RecordKind
	Start    InstanceStart // set if Kind is InstanceStarted
	Event    balance.Event // set if Kind is EventOccurred
}

// InstanceStart holds the parameters of an instance that starts.
type InstanceStart struct {
	Seed     uint64 // seed of the random numbers
	Settings []byte // settings document, as settings.Parse expects it
}

// decodeRecord decodes the next record.
func (r *Reader) decodeRecord(fields *cursor) (Record, error) {
	code, instance := fields.readUint16(), fields.readUint16()
	if fields.truncated {
		return Record{}, errTruncatedRecord
	}
	record := Record{Instance: instance}
	err := r.decodeContent(code, fields, &record)
	if err == nil && fields.truncated {
		err = errTruncatedRecord
	}
	if err != nil {
		return Record{}, &CodeError{Code: code, Err: err}
	}
	return record, nil
}

// decodeContent decodes the fields that follow the code and the instance of a record.
func (r *Reader) decodeContent(code uint16, fields *cursor, record *Record) error {
	switch code {
	case recordCodeServerTable:
		return r.serverTables.decode(fields, record.Instance) // the instance is the number of the table
	case recordCodePeerMessage:
		skipPeerMessage(fields)
		return nil
	case recordCodeInstanceStarted:
		record.Kind = InstanceStarted
		record.Start = decodeInstanceStart(fields)
		return nil
	case recordCodeInstanceStopped:
		record.Kind = InstanceStopped
		return nil
	default:
		var err error
		record.Kind = EventOccurred
		record.Event, err = r.decodeEvent(code, fields)
		return err
	}
}

// decodeInstanceStart decodes the parameters of an instance that starts.
func decodeInstanceStart(fields *cursor) InstanceStart {
	seed := fields.readUint64()
	settingsSize := fields.readUint32()
	return InstanceStart{Seed: seed, Settings: fields.readBytes(settingsSize)}
}

// skipPeerMessage skips a message from another instance: the sender, the length and the message.
func skipPeerMessage(fields *cursor) {
	fields.readUint16()
	size := fields.readUint16()
	fields.readBytes(uint32(size))
}
