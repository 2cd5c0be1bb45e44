package upgrade

import (
	"encoding/gob"
	"io"

	"cindersaddle/balance"
)

// maxStateBytes is the maximum size of the encoded state that a successor reads.
const maxStateBytes = 4 << 20

// The types below, and those in codec_list.go, codec_learned.go and codec_endpoint.go, are the encoded form of State. Their
// field names must not change: gob encodes fields by name, and the two processes of an upgrade may run different versions, so
// a renamed field would be lost. Fields may be added; earlier versions ignore them. Where a field is named differently in the
// decoded type, a comment gives that name.

// encodedState is the encoded form of State.
type encodedState struct {
	Version   int
	Listen    string
	Discovery string
	List      encodedList
	Classes   []string
	Tenants   []string
	Memory    encodedLearnedState // Learned
	WallAhead float64             // WallClockOffset
}

// encode writes the state in a form that successors of all versions can read.
func encode(w io.Writer, state *State) error {
	return gob.NewEncoder(w).Encode(&encodedState{
		Version:   state.Version,
		Listen:    state.Listen,
		Discovery: state.Discovery,
		List:      encodeList(&state.List),
		Classes:   state.Classes,
		Tenants:   state.Tenants,
		Memory:    encodeLearned(&state.Learned),
		WallAhead: float64(state.WallClockOffset),
	})
}

// decode reads the state of a predecessor that runs this version or an earlier one.
func decode(r io.Reader) (*State, error) {
	var encoded encodedState
	if err := gob.NewDecoder(io.LimitReader(r, maxStateBytes)).Decode(&encoded); err != nil {
		return nil, err
	}
	return &State{
		Version:         encoded.Version,
		Listen:          encoded.Listen,
		Discovery:       encoded.Discovery,
		List:            encoded.List.decode(),
		Classes:         encoded.Classes,
		Tenants:         encoded.Tenants,
		Learned:         encoded.Memory.decode(),
		WallClockOffset: balance.Milliseconds(encoded.WallAhead),
	}, nil
}
