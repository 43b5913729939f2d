package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/standin"
)

// TestStatusBelowSuccessIsAnError guards against an answer of a node whose status is
// none, or not final, and that is reported to the operator as a success.
func TestStatusBelowSuccessIsAnError(t *testing.T) {
	for status, wantFailure := range map[string]bool{"000": true, "042": true, "101": true, "200": false, "202": false, "304": true, "503": true} {
		t.Run(status, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { standin.WriteStatus(w, status) }))
			defer srv.Close()
			var out, stderr bytes.Buffer
			code := (&cli{}).execute([]string{"drain", strings.TrimPrefix(srv.URL, "http://")}, &out, &stderr)
			assert.Equal(t, code != 0, wantFailure, "exit code %d: %s", code, stderr.String())
		})
	}
}
