package soak

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cindersaddle/internal/membership"
	"cindersaddle/internal/standin"
)

// sidecarFault is a fault of a faultySidecar. Its value is the name of a subtest.
type sidecarFault string

// The faults. Each of them except faultNone breaks one rule.
const (
	faultNone               sidecarFault = "none"
	faultClosesConns        sidecarFault = "closes connections without a response"
	faultTruncatesResponses sidecarFault = "breaks off responses"
	faultMixesUpResponses   sidecarFault = "gives a request the response of another"
	faultNeverResponds      sidecarFault = "never responds"
	faultParallelAttempts   sidecarFault = "has two attempts in flight"
	faultUnsafeRetries      sidecarFault = "retries what must not be"
	faultIgnoresDraining    sidecarFault = "sends to draining endpoints"
	faultInflatesExpiry     sidecarFault = "states more remaining time than there is"
	faultIgnoresDisconnects sidecarFault = "sends for clients that have left"
	faultInventsRequests    sidecarFault = "sends what no client has sent"
	faultIgnoresSlowStart   sidecarFault = "sends everything to the endpoint that has just started"
	faultCrashes            sidecarFault = "ends by itself"
	faultNoHeaderTimeout    sidecarFault = "keeps connections without a complete request open"
)

// faultySidecar is a minimal sidecar that runs in the test process. Under quietPlan it keeps all rules except the one
// that its fault breaks.
type faultySidecar struct {
	fault     sidecarFault
	config    standin.ProcessConfig
	listener  net.Listener
	server    *http.Server
	pickCount atomic.Int64  // number of picks from the ready endpoints
	ended     chan struct{} // closed by Kill
	endOnce   sync.Once

	mu   sync.Mutex
	list membership.EndpointList
}

// headerTimeout is how long a faultySidecar waits for the header of a request. It is shorter than
// incompleteRequestLimit.
const headerTimeout = 2 * time.Second

// launchFaultySidecar returns a Launcher of sidecars with the given fault.
func launchFaultySidecar(fault sidecarFault) Launcher {
	return func(config standin.ProcessConfig, _ string, _ ...string) (Process, error) {
		listener, err := net.Listen("tcp", config.Listen)
		if err != nil {
			return nil, err
		}
		s := &faultySidecar{
			fault: fault, config: config, listener: listener, list: config.Known, ended: make(chan struct{}),
		}
		s.server = &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout}
		if fault == faultNoHeaderTimeout {
			s.server.ReadHeaderTimeout = 0
		}
		go s.server.Serve(listener)
		go s.pollUntilEnded()
		if fault == faultCrashes {
			time.AfterFunc(time.Second, s.Kill)
		}
		return s, nil
	}
}

// A faultySidecar ignores signals and has neither a configuration file nor a log.

func (s *faultySidecar) Signal(syscall.Signal) error             { return nil }
func (s *faultySidecar) WriteConfig(standin.ProcessConfig) error { return nil }
func (s *faultySidecar) LogLines(string) []string                { return nil }

// Kill closes the server and all its connections.
func (s *faultySidecar) Kill() {
	s.endOnce.Do(func() {
		s.server.Close()
		close(s.ended)
	})
}

// Wait waits until Kill was called or the timeout has passed. The exit error is always nil.
func (s *faultySidecar) Wait(timeout time.Duration) (bool, error) {
	select {
	case <-s.ended:
	case <-time.After(timeout):
	}
	select {
	case <-s.ended: // also if the timeout passed at the same time
		return true, nil
	default:
		return false, nil
	}
}
