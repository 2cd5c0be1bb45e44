package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cindersaddle/internal/membership"
	"cindersaddle/internal/standin"
)

// rogueFault is what a rogueSidecar does wrong.
type rogueFault string

const (
	rogueNone       rogueFault = "none"
	rogueDrops      rogueFault = "closes connections without a response"
	rogueCuts       rogueFault = "breaks off responses"
	rogueMixes      rogueFault = "gives a request the response of another"
	rogueSilent     rogueFault = "never responds"
	rogueTwice      rogueFault = "has two attempts out"
	rogueRepeats    rogueFault = "repeats what must not be"
	rogueAnyServer  rogueFault = "sends to servers that drain"
	rogueGenerous   rogueFault = "tells the servers more time than there is"
	rogueLate       rogueFault = "sends for clients that have left"
	rogueInvents    rogueFault = "sends what no client has sent"
	rogueOverloads  rogueFault = "sends everything to the server that has just started"
	rogueCrashes    rogueFault = "ends by itself"
	rogueKeepsCrowd rogueFault = "keeps clients that complete no request"
)

// rogueSidecar is a sidecar in the process of the test that keeps the rules on a quiet day, but for one fault.
type rogueSidecar struct {
	fault    rogueFault
	config   standin.ProcessConfig
	listener net.Listener
	server   *http.Server
	next     atomic.Int64
	ended    chan struct{}
	endOnce  sync.Once

	mu     sync.Mutex
	list   membership.EndpointList
	phases map[string]float64 // the latest start of each server
}

func launchRogue(fault rogueFault) Launcher {
	return func(config standin.ProcessConfig, _ string, _ ...string) (Sidecar, error) {
		listener, err := net.Listen("tcp", config.Listen)
		if err != nil {
			return nil, err
		}
		s := &rogueSidecar{fault: fault, config: config, listener: listener, list: config.Known, ended: make(chan struct{}), phases: map[string]float64{}}
		s.server = &http.Server{Handler: s, ReadHeaderTimeout: 2 * time.Second}
		if fault == rogueKeepsCrowd {
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

func (s *rogueSidecar) Name() string                            { return s.config.Name }
func (s *rogueSidecar) Addr() string                            { return s.config.Listen }
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

// followList asks discovery often, so that the list is known in time.
func (s *rogueSidecar) followList() {
	for {
		select {
		case <-s.ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		response, err := http.Get("http://" + s.config.Discovery + "/discovery/hosts")
		if err != nil {
			continue
		}
		body, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if list, err := membership.Parse(body); err == nil {
			s.mu.Lock()
			s.list = *list
			s.mu.Unlock()
		}
	}
}

// pick returns a server, another one for each call, or nil.
func (s *rogueSidecar) pick() *membership.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ready []membership.Endpoint
	var newest *membership.Endpoint
	for _, endpoint := range s.list.Members {
		if endpoint.Phase == "ready" || s.fault == rogueAnyServer {
			ready = append(ready, endpoint)
		}
		if endpoint.UpSince > 0 && (newest == nil || endpoint.UpSince > newest.UpSince) {
			newest = &endpoint
		}
	}
	slices.SortFunc(ready, func(a, b membership.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	if s.fault == rogueOverloads && newest != nil {
		return newest
	}
	if len(ready) == 0 {
		return nil
	}
	return &ready[int(s.next.Add(1))%len(ready)]
}

// ServeHTTP passes a request on and makes one mistake in some of them.
func (s *rogueSidecar) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	unlucky := s.next.Load()%7 == 0
	endpoint := s.pick()
	if endpoint == nil {
		http.Error(w, "no server", http.StatusServiceUnavailable)
		return
	}
	is := func(fault rogueFault) bool { return s.fault == fault && unlucky }
	request := standinRequest(r, body)
	if is(rogueInvents) {
		request.Header.Set("X-Trace-Id", "invented")
	}
	if is(rogueGenerous) {
		request.Header.Set("X-Expires-In", "60000m")
	}
	if is(rogueLate) {
		go func() {
			<-r.Context().Done()
			time.Sleep(400 * time.Millisecond)
			roundTrip(context.Background(), endpoint, request)
		}()
		<-r.Context().Done()
		return
	}
	if is(rogueTwice) {
		if other := s.pick(); other != nil {
			go roundTrip(context.Background(), other, standinRequest(r, body))
		}
	}
	response, err := roundTrip(r.Context(), endpoint, request)
	if is(rogueRepeats) {
		if other := s.pick(); other != nil {
			response, err = roundTrip(r.Context(), other, standinRequest(r, body))
		}
	}
	switch {
	case is(rogueDrops):
		panic(http.ErrAbortHandler)
	case is(rogueSilent):
		<-r.Context().Done()
	case err != nil:
		http.Error(w, "failed", http.StatusBadGateway)
	case is(rogueCuts):
		w.Header().Set("Content-Length", fmt.Sprint(len(response)))
		w.Write(response[:len(response)/2])
		panic(http.ErrAbortHandler)
	case is(rogueMixes):
		w.Write([]byte(strings.Replace(string(response), "served ", "served x", 1)))
	default:
		w.Write(response)
	}
}

// standinRequest returns the request that goes to a server.
func standinRequest(r *http.Request, body []byte) *http.Request {
	request, _ := http.NewRequest(r.Method, "http://server/api", strings.NewReader(string(body)))
	request.Header = r.Header.Clone()
	return request
}

// roundTrip sends a request over a connection of its own.
func roundTrip(ctx context.Context, endpoint *membership.Endpoint, request *http.Request) ([]byte, error) {
	conn, err := net.DialTimeout("tcp", endpoint.HostPort, time.Second)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if err := request.Write(conn); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	return body, err
}

// quietPlan is a plan without faults but for a server that drains and one that comes back.
func quietPlan() *Plan {
	settings := defaultSettings()
	settings.Rules.ColdTime = 4000
	return &Plan{
		Seed: 1, Sidecars: 2, Servers: 4, Workers: 8, Length: 5 * time.Second, Settings: settings, Sockets: 256, Crowd: 4, Leaving: 0.2,
		Events: []Event{
			{At: 500 * time.Millisecond, Kind: EventDrain, Target: 0, Length: 3 * time.Second},
			{At: 500 * time.Millisecond, Kind: EventRestart, Target: 1, Length: 200 * time.Millisecond},
		},
	}
}

// TestJudgeCatchesEachFault checks that a run with sidecars which break a rule on purpose is caught by that rule, and that one
// without a fault breaks none.
func TestJudgeCatchesEachFault(t *testing.T) {
	for fault, rule := range map[rogueFault]Rule{
		rogueNone:       "",
		rogueDrops:      RuleAnswered,
		rogueCuts:       RuleAnswered,
		rogueMixes:      RuleAnswered,
		rogueSilent:     RuleAnswered,
		rogueTwice:      RuleDuplicate,
		rogueRepeats:    RuleDuplicate,
		rogueAnyServer:  RuleDrain,
		rogueGenerous:   RuleExpiry,
		rogueLate:       RuleLeft,
		rogueInvents:    RuleUnknown,
		rogueOverloads:  RuleSlowStart,
		rogueCrashes:    RuleProcess,
		rogueKeepsCrowd: RuleBadClient,
	} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			plan := quietPlan()
			records, err := Run(plan, launchRogue(fault), t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			violations := Judge(records)
			if rule == "" {
				reportViolations(t, records, violations)
				return
			}
			if !slices.ContainsFunc(violations, func(v Violation) bool { return v.Rule == rule }) {
				t.Errorf("%d violations, none of rule %q", len(violations), rule)
			}
		})
	}
}
