package upgrade

import "sync"

// processCounter counts the processes of this sidecar that share its resource limits: this process, its predecessor
// and its successors.
type processCounter struct {
	mu                 sync.Mutex
	countChanged       func(processes int) // nil until setCountChanged is called
	predecessorRunning bool
	runningSuccessors  int  // number of running processes that took over from this one
	retired            bool // retire was called: this process is ending, and the socket belongs to others
}

// setCountChanged sets the function that is called with the number of processes whenever that changes.
func (p *processCounter) setCountChanged(changed func(processes int)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countChanged = changed
}

// retire makes addSuccessor refuse further successors and reports whether a successor is running.
func (p *processCounter) retire() (hasSuccessor bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	return p.runningSuccessors > 0
}

// isRetired reports whether retire has been called.
func (p *processCounter) isRetired() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retired
}

// addSuccessor counts a new successor. It returns false if this process has retired, and must be called before the
// successor is sent anything: retire then reports the successor, and this process does not stop the shared listener
// while the successor may accept connections from it.
func (p *processCounter) addSuccessor() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired {
		return false
	}
	p.runningSuccessors++
	p.notify()
	return true
}

// removeSuccessor stops counting a successor that has ended or could not take over.
func (p *processCounter) removeSuccessor() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runningSuccessors--
	p.notify()
}

// addPredecessor counts the running predecessor.
func (p *processCounter) addPredecessor() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.predecessorRunning = true
	p.notify()
}

// removePredecessor stops counting the predecessor, which has ended.
func (p *processCounter) removePredecessor() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.predecessorRunning = false
	p.notify()
}

// notify calls countChanged with the current number of processes. The caller must hold the lock, so that calls do not
// overlap and the last one passes the current number.
func (p *processCounter) notify() {
	processes := 1 + p.runningSuccessors // this process and its successors
	if p.predecessorRunning {
		processes++
	}
	p.countChanged(processes)
}
