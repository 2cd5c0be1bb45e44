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

// sidecarFault is what a faultySidecar does wrong.
type sidecarFault string

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

// faultySidecar is a sidecar in the process of the test that keeps the rules under quietPlan, but for one fault.
type faultySidecar struct {
	fault     sidecarFault
	config    standin.ProcessConfig
	listener  net.Listener
	server    *http.Server
	pickCount atomic.Int64
	ended     chan struct{}
	endOnce   sync.Once

	mu   sync.Mutex
	list membership.EndpointList
}

func launchFaultySidecar(fault sidecarFault) Launcher {
	return func(config standin.ProcessConfig, _ string, _ ...string) (Process, error) {
		listener, err := net.Listen("tcp", config.Listen)
		if err != nil {
			return nil, err
		}
		s := &faultySidecar{fault: fault, config: config, listener: listener, list: config.Known, ended: make(chan struct{})}
		s.server = &http.Server{Handler: s, ReadHeaderTimeout: 2 * time.Second}
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

func (s *faultySidecar) Signal(syscall.Signal) error             { return nil }
func (s *faultySidecar) WriteConfig(standin.ProcessConfig) error { return nil }
func (s *faultySidecar) LogLines(string) []string                { return nil }

func (s *faultySidecar) Kill() {
	s.endOnce.Do(func() {
		s.server.Close()
		close(s.ended)
	})
}

func (s *faultySidecar) Wait(timeout time.Duration) (bool, error) {
	select {
	case <-s.ended:
	case <-time.After(timeout):
	}
	select {
	case <-s.ended: // also where both have come
		return true, nil
	default:
		return false, nil
	}
}
