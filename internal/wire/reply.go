package wire

import (
	"encoding/binary"
	"io"

	"cindersaddle/balance"
)

const (
	replyHeaderSize = 4 // bytes

	watchEnabled = 1 // of codeWatchEndpoints
)

// Reply collects the actions in response to one frame. Reset must be called before each frame.
type Reply struct{ frame frame }

// Reset removes all actions.
func (r *Reply) Reset() {
	r.frame = append(r.frame[:0], make([]byte, replyHeaderSize)...)
}

// WriteTo writes the reply as one frame.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	binary.BigEndian.PutUint32(r.frame, uint32(len(r.frame)))
	n, err := w.Write(r.frame)
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
	r.frame.putHeader(codeFault, instance)
	r.frame.putText(text)
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
	r.frame.putHeader(codeSendAttempt, instance)
	r.frame.putUint64(uint64(action.Request))
	r.frame.putMilliseconds(action.Deadline)
	r.frame.putEndpointID(action.Endpoint)
}

func (r *Reply) addRejectRequest(instance uint16, action *balance.Action) {
	r.frame.putHeader(codeRejectRequest, instance)
	r.frame.putUint64(uint64(action.Request))
	r.frame.putMilliseconds(action.RetryAfter)
}

func (r *Reply) addFailRequest(instance uint16, action *balance.Action) {
	r.frame.putHeader(codeFailRequest, instance)
	r.frame.putUint64(uint64(action.Request))
}

func (r *Reply) addCancelAttempt(instance uint16, action *balance.Action) {
	r.frame.putHeader(codeCancelAttempt, instance)
	r.frame.putUint64(uint64(action.Request))
	r.frame.putUint8(uint8(action.Attempt))
}

func (r *Reply) addSetTimer(instance uint16, action *balance.Action) {
	r.frame.putHeader(codeSetTimer, instance)
	r.frame.putUint64(action.Token)
	r.frame.putMilliseconds(action.Delay)
}

func (r *Reply) addCheckHealth(instance uint16, action *balance.Action) {
	r.frame.putHeader(codeCheckHealth, instance)
	r.frame.putEndpointID(action.Endpoint)
}

func (r *Reply) addLog(instance uint16, action *balance.Action) {
	r.frame.putHeader(codeLog, instance)
	r.frame.putText(action.Text)
}

func (r *Reply) addWatchEndpoints(instance uint16) {
	r.frame.putHeader(codeWatchEndpoints, instance)
	r.frame.putUint8(watchEnabled)
}
