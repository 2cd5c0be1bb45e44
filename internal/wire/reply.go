package wire

import (
	"encoding/binary"
	"io"
	"math"

	"cindersaddle/balance"
)

const (
	replyHeaderSize = 4
	maxTextSize     = math.MaxUint16 // bytes; longer texts are cut

	watchEnabled = 1 // of codeWatchEndpoints
)

// Reply collects the actions that answer one frame. Reset must be called before each frame.
type Reply struct{ buf []byte }

// Reset removes all actions.
func (r *Reply) Reset() {
	r.buf = append(r.buf[:0], make([]byte, replyHeaderSize)...)
}

// WriteTo writes the reply as one frame.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	binary.BigEndian.PutUint32(r.buf, uint32(len(r.buf)))
	n, err := w.Write(r.buf)
	return int64(n), err
}

// Add appends the actions of one instance.
func (r *Reply) Add(instance uint16, actions []balance.Action) {
	for i := range actions {
		r.addAction(instance, &actions[i])
	}
}

// Fault reports that an instance cannot go on, or did not accept an event.
func (r *Reply) Fault(instance uint16, text string) {
	r.putHeader(codeFault, instance)
	r.putText(text)
}

// addAction appends one action; kinds that the simulator does not know are left out.
func (r *Reply) addAction(instance uint16, action *balance.Action) {
	switch action.Kind {
	case balance.SendAttempt:
		r.addSendAttempt(instance, action)
	case balance.RejectRequest:
		r.addRejectRequest(instance, action)
	case balance.FailRequest:
		r.addFailRequest(instance, action)
	case balance.CancelAttempt:
		r.addCancelAttempt(instance, action)
	case balance.SetTimer:
		r.addSetTimer(instance, action)
	case balance.CheckHealth:
		r.addCheckHealth(instance, action)
	case balance.Log:
		r.addLog(instance, action)
	case balance.WatchEndpoints:
		r.addWatchEndpoints(instance)
	}
}

func (r *Reply) addSendAttempt(instance uint16, action *balance.Action) {
	r.putHeader(codeSendAttempt, instance)
	r.putUint64(uint64(action.Request))
	r.putMilliseconds(action.Deadline)
	r.putEndpointID(action.Endpoint)
}

func (r *Reply) addRejectRequest(instance uint16, action *balance.Action) {
	r.putHeader(codeRejectRequest, instance)
	r.putUint64(uint64(action.Request))
	r.putMilliseconds(action.RetryAfter)
}

func (r *Reply) addFailRequest(instance uint16, action *balance.Action) {
	r.putHeader(codeFailRequest, instance)
	r.putUint64(uint64(action.Request))
}

func (r *Reply) addCancelAttempt(instance uint16, action *balance.Action) {
	r.putHeader(codeCancelAttempt, instance)
	r.putUint64(uint64(action.Request))
	r.putUint8(uint8(action.Attempt))
}

func (r *Reply) addSetTimer(instance uint16, action *balance.Action) {
	r.putHeader(codeSetTimer, instance)
	r.putUint64(action.Token)
	r.putMilliseconds(action.Delay)
}

func (r *Reply) addCheckHealth(instance uint16, action *balance.Action) {
	r.putHeader(codeCheckHealth, instance)
	r.putEndpointID(action.Endpoint)
}

func (r *Reply) addLog(instance uint16, action *balance.Action) {
	r.putHeader(codeLog, instance)
	r.putText(action.Text)
}

func (r *Reply) addWatchEndpoints(instance uint16) {
	r.putHeader(codeWatchEndpoints, instance)
	r.putUint8(watchEnabled)
}

func (r *Reply) putHeader(code, instance uint16) {
	r.putUint16(code)
	r.putUint16(instance)
}

func (r *Reply) putUint8(value uint8) { r.buf = append(r.buf, value) }

func (r *Reply) putUint16(value uint16) { r.buf = binary.BigEndian.AppendUint16(r.buf, value) }

func (r *Reply) putUint32(value uint32) { r.buf = binary.BigEndian.AppendUint32(r.buf, value) }

func (r *Reply) putUint64(value uint64) { r.buf = binary.BigEndian.AppendUint64(r.buf, value) }

func (r *Reply) putFloat64(value float64) { r.putUint64(math.Float64bits(value)) }

func (r *Reply) putMilliseconds(value balance.Milliseconds) { r.putFloat64(float64(value)) }

// putEndpointID appends the address and the port that an ID holds.
func (r *Reply) putEndpointID(id balance.EndpointID) {
	r.putUint32(uint32(id >> portBits))
	r.putUint16(uint16(id))
}

// putText appends the length of a text and its bytes.
func (r *Reply) putText(text string) {
	text = text[:min(len(text), maxTextSize)]
	r.putUint16(uint16(len(text)))
	r.buf = append(r.buf, text...)
}
