package sidecar

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"cindersaddle/internal/sidecartest"
)

// metric reads the value of one metric at the admin address, or "absent" where it is not exported.
func (sidecar *testSidecar) metric(name string) string {
	sidecar.t.Helper()
	resp, text := sidecar.callAdmin("GET", "/api/telemetry")
	if resp.StatusCode != 200 {
		sidecar.t.Fatalf("GET /api/telemetry: status %d, want 200", resp.StatusCode)
	}
	for line := range strings.Lines(text) {
		if value, ok := strings.CutPrefix(line, "edge_node_"+name+" "); ok {
			return strings.TrimSpace(value)
		}
	}
	return "absent"
}

// waitForPending waits until a number of requests are pending: their clients wait for the response.
func (sidecar *testSidecar) waitForPending(count int) {
	sidecar.t.Helper()
	sidecartest.WaitFor(sidecar.t, fmt.Sprintf("%d requests are pending", count), func() bool {
		return sidecar.metric("pending") == strconv.Itoa(count)
	})
}

// resultCounts returns the numbers of completed, rejected and failed requests of a class, in this order.
func (sidecar *testSidecar) resultCounts(class string) string {
	all := make([]string, 0, 3)
	for _, result := range []string{"completed", "rejected", "failed"} {
		all = append(all, sidecar.metric(fmt.Sprintf("downstream_requests_total{lane=%q,result=%q}", class, result)))
	}
	return strings.Join(all, " ")
}

// callAdmin makes a request to the admin address.
func (sidecar *testSidecar) callAdmin(method, path string) (*http.Response, string) {
	sidecar.t.Helper()
	request, err := http.NewRequest(method, "http://"+sidecar.adminAddr+path, nil)
	if err != nil {
		sidecar.t.Fatal(err)
	}
	return sidecar.do(request)
}

// waitUntilReady waits until the readiness endpoint reports 200.
func (sidecar *testSidecar) waitUntilReady() {
	sidecar.t.Helper()
	sidecartest.WaitFor(sidecar.t, "the sidecar is ready", func() bool {
		resp, _ := sidecar.callAdmin("GET", "/api/ready")
		return resp.StatusCode == 200
	})
}
