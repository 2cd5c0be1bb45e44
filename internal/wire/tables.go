package wire

import (
	"fmt"

	"cindersaddle/balance"
)

const (
	// endpointSize is the size of an entry of a server table, in bytes.
	endpointSize = 23
	// maxTables bounds the numbers of server tables.
	maxTables = 16
)

// tables holds the server tables of the simulator by their numbers: lists of endpoints, to which endpoint updates in
// later records refer. A number that was not sent yet has nil.
type tables [maxTables][]balance.Endpoint

// get returns the table of a number. Its error is a MissingTableError.
func (t *tables) get(number uint16) ([]balance.Endpoint, error) {
	if number >= maxTables || t[number] == nil {
		return nil, &MissingTableError{Number: number}
	}
	return t[number], nil
}

// decode stores the table that follows in a record, in place of an earlier one of its number.
func (t *tables) decode(fields *cursor, number uint16) error {
	if number >= maxTables {
		return &TableNumberError{Number: number}
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
	t[number] = table
	return nil
}

// decodeEndpoint takes the next entry of a table off a record.
func decodeEndpoint(fields *cursor) (balance.Endpoint, error) {
	endpoint := balance.Endpoint{StartedAt: fields.milliseconds()}
	stateCode := fields.uint8()
	state, known := endpointStates[stateCode]
	if !known {
		return balance.Endpoint{}, &UnknownValueError{Field: "state", Value: uint16(stateCode)}
	}
	endpoint.State = state
	endpoint.ID = fields.endpointID()
	endpoint.Rating = float64(fields.float32())
	endpoint.Cell = int(fields.uint16())
	endpoint.Zone = int(fields.uint8())
	endpoint.MachineType = int(fields.uint8())
	return endpoint, nil
}
