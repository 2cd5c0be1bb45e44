package eventloop

// inboxSize is how many events may wait for the loop before those who post wait too.
const inboxSize = 1024

// event is something that happened, for the loop to handle. apply is called by the goroutine of Run only.
type event interface{ apply(l *Loop) }

// inbox holds the events that wait for the loop. Any goroutine may post; the other methods are the loop's.
type inbox struct {
	events      chan event
	localEvents []event         // posted by the loop itself, oldest first; handled before any other event
	loopDone    <-chan struct{} // closed when the loop ends
}

// newInbox returns an empty inbox of a loop that ends when loopDone is closed.
func newInbox(loopDone <-chan struct{}) inbox {
	return inbox{events: make(chan event, inboxSize), loopDone: loopDone}
}

// post adds an event, and waits while the inbox is full. It drops the event if the loop has ended.
func (b *inbox) post(ev event) {
	select {
	case b.events <- ev:
	case <-b.loopDone:
	}
}

// postLocal adds an event of the loop's own, which is handled right after the present one. The loop cannot use post: when the
// inbox is full, it would wait for itself.
func (b *inbox) postLocal(ev event) { b.localEvents = append(b.localEvents, ev) }

// popLocal removes and returns the oldest of the loop's own events.
func (b *inbox) popLocal() (ev event, ok bool) {
	if len(b.localEvents) == 0 {
		return nil, false
	}
	ev = b.localEvents[0]
	b.localEvents = b.localEvents[1:]
	return ev, true
}
