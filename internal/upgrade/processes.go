package upgrade

import "sync"

// processCount counts the processes of this sidecar that share its limits: this one, its predecessor and its successors.
type processCount struct {
	mu          sync.Mutex
	changed     func(processes int) // nil before onChange
	predecessor bool                // it runs
	successors  int                 // number of processes that took over from this one and run
	retired     bool                // this process ends: the socket is for others now
}

// onChange sets the function that is called with the number of processes whenever that changes.
func (p *processCount) onChange(changed func(processes int)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changed = changed
}

// retire ends the adding of successors and reports whether there is one.
func (p *processCount) retire() (succeeded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	return p.successors > 0
}

// isRetired reports whether retire was called.
func (p *processCount) isRetired() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retired
}

// addSuccessor counts a successor before it gets anything. It returns false if this process has retired: as soon as
// another process may accept from the shared listener, this one must not stop it.
func (p *processCount) addSuccessor() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired {
		return false
	}
	p.successors++
	p.notify()
	return true
}

// removeSuccessor counts one successor less.
func (p *processCount) removeSuccessor() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.successors--
	p.notify()
}

// addPredecessor counts the predecessor.
func (p *processCount) addPredecessor() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.predecessor = true
	p.notify()
}

// removePredecessor stops counting the predecessor.
func (p *processCount) removePredecessor() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.predecessor = false
	p.notify()
}

// notify passes on the number of processes. The caller holds the lock, so that the last call has the last number.
func (p *processCount) notify() {
	processes := 1 + p.successors
	if p.predecessor {
		processes++
	}
	p.changed(processes)
}
