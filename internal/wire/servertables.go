package wire

import (
	"fmt"

	"cindersaddle/balance"
)

const (
	serverTableEntrySize = 23 // bytes
	maxServerTables      = 16 // the numbers of server tables are below this
)

// serverTables holds the server tables by number. A server table is a list of endpoints; endpoint updates refer to it
// by its number. A table is nil until the simulator has sent it.
type serverTables [maxServerTables][]balance.Endpoint

// get returns the table with the given number, or a *MissingTableError if there is none.
func (t *serverTables) get(number uint16) ([]balance.Endpoint, error) {
	if number >= maxServerTables || t[number] == nil {
		return nil, &MissingTableError{Number: number}
	}
	return t[number], nil
}

// decode decodes a server table and stores it. It replaces an earlier table with the same number.
func (t *serverTables) decode(fields *cursor, number uint16) error {
	if number >= maxServerTables {
		return &TableNumberError{Number: number}
	}
	count := fields.readUint32()
	if uint64(count)*serverTableEntrySize > uint64(fields.remaining()) {
		return fmt.Errorf("%d entries: %w", count, errTruncatedRecord)
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

// decodeEndpoint decodes an entry of a server table.
func decodeEndpoint(fields *cursor) (balance.Endpoint, error) {
	endpoint := balance.Endpoint{StartedAt: fields.readMilliseconds()}
	stateCode := fields.readUint8()
	state, known := endpointStatesByCode[stateCode]
	if !known {
		return balance.Endpoint{}, &UnknownValueError{Field: "state", Value: uint16(stateCode)}
	}
	endpoint.State = state
	endpoint.ID = fields.readEndpointID()
	endpoint.Rating = float64(fields.readFloat32())
	endpoint.Cell = int(fields.readUint16())
	endpoint.Zone = int(fields.readUint8())
	endpoint.MachineType = int(fields.readUint8())
	return endpoint, nil
}
