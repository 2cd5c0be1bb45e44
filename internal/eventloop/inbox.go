package eventloop

// inboxSize is how many events the inbox holds before post blocks.
const inboxSize = 1024

// event is an input of the loop. apply handles it, and is called only on the goroutine of Run.
type event interface{ apply(l *Loop) }

// inbox holds the events that the loop has not handled. Any goroutine may call post; only the loop calls the other
// methods.
type inbox struct {
	events      chan event
	localEvents []event         // posted by the loop itself, oldest first; handled before all other events
	loopDone    <-chan struct{} // closed when the loop ends
}

// newInbox returns an empty inbox for a loop that ends when loopDone is closed.
func newInbox(loopDone <-chan struct{}) inbox {
	return inbox{events: make(chan event, inboxSize), loopDone: loopDone}
}

// post adds an event, and blocks while the inbox is full. It drops the event if the loop has ended.
func (b *inbox) post(ev event) {
	select {
	case b.events <- ev:
	case <-b.loopDone:
	}
}

// postLocal adds an event from the loop itself, which is handled right after the current one. The loop must not use
// post: it would block forever if the inbox were full.
func (b *inbox) postLocal(ev event) { b.localEvents = append(b.localEvents, ev) }

// popLocal removes and returns the oldest local event. ok is false if there is none.
func (b *inbox) popLocal() (ev event, ok bool) {
	if len(b.localEvents) == 0 {
		return nil, false
	}
	ev = b.localEvents[0]
	b.localEvents = b.localEvents[1:]
	return ev, true
}
