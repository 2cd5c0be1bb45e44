// Package discovery follows the list of endpoints. A Watcher makes HTTP calls to one address and reports each list, and
// each failed call, to an Observer.
//
// There are two modes of discovery. An agent on the same machine has the list pushed to it: it responds at once, and is
// followed from the start. A discovery service is polled: calls queue there with those of other sidecars, and the
// balancer decides when to poll. In both modes a call that names a revision is a watch, which the other side may hold
// until there is a newer list.
//
// Run is the only goroutine of a Watcher and owns its fields. RequestWatch and SetAddress may be called from any
// goroutine; a mutex guards the address.
package discovery
