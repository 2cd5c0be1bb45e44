package wire

import (
	"encoding/binary"
	"io"

	"cindersaddle/balance"
)

const (
	replyHeaderSize = 4 // bytes

	watchEnabled = 1 // value of the field of actionCodeWatchEndpoints
)

// Reply collects the actions that respond to one frame. Reset must be called before each frame.
type Reply struct{ buffer frameBuffer }

// Reset removes all actions and faults.
func (r *Reply) Reset() {
	r.buffer = append(r.buffer[:0], make([]byte, replyHeaderSize)...)
}

// WriteTo writes the reply as one frame.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	binary.BigEndian.PutUint32(r.buffer, uint32(len(r.buffer)))
	n, err := w.Write(r.buffer)
	return int64(n), err
}

// AddActions appends the actions of an instance.
func (r *Reply) AddActions(instance uint16, actions []balance.Action) {
	for i := range actions {
		r.addAction(instance, &actions[i])
	}
}

// AddFault appends a report that an instance could not start, panicked, or rejected an event.
func (r *Reply) AddFault(instance uint16, text string) {
	r.buffer.putActionHeader(actionCodeFault, instance)
	r.buffer.putText(text)
}

// addAction appends an action. Kinds that are not in the protocol are omitted.
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
	r.buffer.putActionHeader(actionCodeSendAttempt, instance)
	r.buffer.putUint64(uint64(action.Request))
	r.buffer.putMilliseconds(action.Deadline)
	r.buffer.putEndpointID(action.Endpoint)
}

func (r *Reply) addRejectRequest(instance uint16, action *balance.Action) {
	r.buffer.putActionHeader(actionCodeRejectRequest, instance)
	r.buffer.putUint64(uint64(action.Request))
	r.buffer.putMilliseconds(action.RetryAfter)
}

func (r *Reply) addFailRequest(instance uint16, action *balance.Action) {
	r.buffer.putActionHeader(actionCodeFailRequest, instance)
	r.buffer.putUint64(uint64(action.Request))
}

func (r *Reply) addCancelAttempt(instance uint16, action *balance.Action) {
	r.buffer.putActionHeader(actionCodeCancelAttempt, instance)
	r.buffer.putUint64(uint64(action.Request))
	r.buffer.putUint8(uint8(action.Attempt))
}

func (r *Reply) addSetTimer(instance uint16, action *balance.Action) {
	r.buffer.putActionHeader(actionCodeSetTimer, instance)
	r.buffer.putUint64(action.Token)
	r.buffer.putMilliseconds(action.Delay)
}

func (r *Reply) addCheckHealth(instance uint16, action *balance.Action) {
	r.buffer.putActionHeader(actionCodeCheckHealth, instance)
	r.buffer.putEndpointID(action.Endpoint)
}

func (r *Reply) addLog(instance uint16, action *balance.Action) {
	r.buffer.putActionHeader(actionCodeLog, instance)
	r.buffer.putText(action.Text)
}

func (r *Reply) addWatchEndpoints(instance uint16) {
	r.buffer.putActionHeader(actionCodeWatchEndpoints, instance)
	r.buffer.putUint8(watchEnabled)
}
