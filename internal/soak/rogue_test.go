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

// rogueFault is what a rogueSidecar does wrong.
type rogueFault string

const (
	rogueNone        rogueFault = "none"
	rogueCloses      rogueFault = "closes connections without a response"
	rogueTruncates   rogueFault = "breaks off responses"
	rogueMixes       rogueFault = "gives a request the response of another"
	rogueSilent      rogueFault = "never responds"
	rogueDuplicates  rogueFault = "has two attempts in flight"
	rogueRetries     rogueFault = "retries what must not be"
	rogueAnyEndpoint rogueFault = "sends to draining endpoints"
	rogueGenerous    rogueFault = "states more remaining time than there is"
	rogueLate        rogueFault = "sends for clients that have left"
	rogueInvents     rogueFault = "sends what no client has sent"
	rogueOverloads   rogueFault = "sends everything to the endpoint that has just started"
	rogueCrashes     rogueFault = "ends by itself"
	rogueNoTimeout   rogueFault = "keeps connections without a complete request open"
)

// rogueSidecar is a sidecar in the process of the test that keeps the rules under quietPlan, but for one fault.
type rogueSidecar struct {
	fault    rogueFault
	config   standin.ProcessConfig
	listener net.Listener
	server   *http.Server
	next     atomic.Int64
	ended    chan struct{}
	endOnce  sync.Once

	mu   sync.Mutex
	list membership.EndpointList
}

func launchRogue(fault rogueFault) Launcher {
	return func(config standin.ProcessConfig, _ string, _ ...string) (Process, error) {
		listener, err := net.Listen("tcp", config.Listen)
		if err != nil {
			return nil, err
		}
		s := &rogueSidecar{fault: fault, config: config, listener: listener, list: config.Known, ended: make(chan struct{})}
		s.server = &http.Server{Handler: s, ReadHeaderTimeout: 2 * time.Second}
		if fault == rogueNoTimeout {
			s.server.ReadHeaderTimeout = 0
		}
		go s.server.Serve(listener)
		go s.followList()
		if fault == rogueCrashes {
			time.AfterFunc(time.Second, s.Kill)
		}
		return s, nil
	}
}

func (s *rogueSidecar) Signal(syscall.Signal) error             { return nil }
func (s *rogueSidecar) WriteConfig(standin.ProcessConfig) error { return nil }
func (s *rogueSidecar) LogLines(string) []string                { return nil }

func (s *rogueSidecar) Kill() {
	s.endOnce.Do(func() {
		s.server.Close()
		close(s.ended)
	})
}

func (s *rogueSidecar) Wait(timeout time.Duration) (bool, error) {
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
