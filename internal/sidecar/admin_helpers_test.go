package sidecar

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"cindersaddle/internal/sidecartest"
)

// metric returns the value of a metric at the admin address, or "absent" if it is not exported.
func (sidecar *testSidecar) metric(name string) string {
	sidecar.t.Helper()
	resp, text := sidecar.callAdmin("GET", "/api/telemetry")
	if resp.StatusCode != 200 {
		sidecar.t.Fatalf("GET /api/telemetry: got status %d, want 200", resp.StatusCode)
	}
	for line := range strings.Lines(text) {
		if value, ok := strings.CutPrefix(line, "edge_node_"+name+" "); ok {
			return strings.TrimSpace(value)
		}
	}
	return "absent"
}

// waitForPendingRequests waits until count requests are pending, that is, their clients wait for the response.
func (sidecar *testSidecar) waitForPendingRequests(count int) {
	sidecar.t.Helper()
	sidecartest.WaitFor(sidecar.t, fmt.Sprintf("%d requests are pending", count), func() bool {
		return sidecar.metric("pending") == strconv.Itoa(count)
	})
}

// resultCounts returns the numbers of completed, rejected and failed requests of a class, in this order and separated
// by spaces.
func (sidecar *testSidecar) resultCounts(class string) string {
	counts := make([]string, 0, 3)
	for _, result := range []string{"completed", "rejected", "failed"} {
		counts = append(counts, sidecar.metric(fmt.Sprintf("downstream_requests_total{lane=%q,result=%q}", class, result)))
	}
	return strings.Join(counts, " ")
}

// callAdmin sends a request to the admin address and returns the response and its body.
func (sidecar *testSidecar) callAdmin(method, path string) (*http.Response, string) {
	sidecar.t.Helper()
	request, err := http.NewRequest(method, "http://"+sidecar.adminAddr+path, nil)
	if err != nil {
		sidecar.t.Fatal(err)
	}
	return sidecar.do(request)
}

// waitUntilReady waits until the readiness path of the admin address responds with 200.
func (sidecar *testSidecar) waitUntilReady() {
	sidecar.t.Helper()
	sidecartest.WaitFor(sidecar.t, "the sidecar is ready", func() bool {
		resp, _ := sidecar.callAdmin("GET", "/api/ready")
		return resp.StatusCode == 200
	})
}
