// Package discovery keeps the endpoint list up to date. A Watcher makes HTTP calls to one address and reports each
// list that it receives, and each failed call, to an Observer.
//
// There are two modes of discovery. In agent mode the calls go to an agent on the same machine, to which the list is
// pushed: it responds at once, and the Watcher calls it continuously from the start. In polled mode the calls go to a
// remote discovery service, where they wait in a queue with those of other sidecars, and the balancer decides when to
// poll. In both modes a call that contains a revision is a watch: discovery may hold its response until there is a
// newer list.
//
// A Watcher starts no goroutine. Run owns the fields; RequestWatch and SetAddress may be called from any goroutine,
// and a mutex guards the address.
package discovery
