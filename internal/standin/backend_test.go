package standin

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestBackendFaults guards against a fault that is set over HTTP and has no
// effect, which would make measurements under that fault meaningless.
func TestBackendFaults(t *testing.T) {
	tests := []struct {
		faults, target string
		status         int
		length         int // of the answer's body; -1 for any
		cut            bool
	}{
		{`{}`, "/", 200, -1, false},
		{`{"shed": true}`, "/", 503, -1, false},
		{`{}`, "/?bytes=100000", 200, 100000, false},
		{`{}`, "/?bytes=5000&rate=100000", 200, 5000, false},
		{`{"cutAfter": 1000}`, "/?bytes=5000", 200, 1000, true},
		{`{"reportedLoad": 77}`, "/load", 200, len(`{"inFlight":77,"slots":4}`) + 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.faults+tt.target, func(t *testing.T) {
			b := NewBackend("b", 4, 0)
			srv := httptest.NewServer(b.Handler())
			defer srv.Close()
			req, err := http.NewRequest("PUT", srv.URL+"/_standin/faults", strings.NewReader(tt.faults))
			assert.NilError(t, err)
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			_ = resp.Body.Close()
			assert.Equal(t, resp.StatusCode, http.StatusNoContent)
			resp, err = http.Get(srv.URL + tt.target)
			assert.NilError(t, err)
			defer resp.Body.Close()
			data, err := io.ReadAll(resp.Body)
			assert.Equal(t, resp.StatusCode, tt.status)
			assert.Equal(t, err != nil, tt.cut)
			if tt.length >= 0 {
				assert.Equal(t, len(data), tt.length)
			}
		})
	}
}

// TestBackendCountsRuns guards against runs that are not counted, such as a second
// run of an idempotency key.
func TestBackendCountsRuns(t *testing.T) {
	b := NewBackend("b", 4, 0)
	srv := httptest.NewServer(b.Handler())
	defer srv.Close()
	for _, key := range []string{"k1", "k2", "k2", ""} {
		req, err := http.NewRequest("POST", srv.URL+"/", nil)
		assert.NilError(t, err)
		req.Header.Set("Idempotency-Key", key)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		_ = resp.Body.Close()
	}
	resp, err := http.Get(srv.URL + "/_standin/runs")
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(data), fmt.Sprintln(`{"ran":4,"crashes":0,"keys":{"k1":1,"k2":2}}`))
}
