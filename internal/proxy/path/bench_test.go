package path_test

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkPath compares a call through both proxies with a direct call; the
// difference is the cost of the proxies.
func BenchmarkPath(b *testing.B) {
	backend := startBackend(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 1<<10)) })
	for _, tt := range []struct{ name, address string }{{"direct", backend}, {"path", startPath(b, backend)}} {
		b.Run(tt.name, func(b *testing.B) {
			c := newHTTPClient(b, false)
			b.ReportAllocs()
			for b.Loop() {
				req := newBenchRequest(b, tt.address)
				resp, err := c.Do(req)
				assert.NilError(b, err)
				_, err = io.Copy(io.Discard, resp.Body)
				assert.NilError(b, err)
				_ = resp.Body.Close()
			}
		})
	}
}

func newBenchRequest(b *testing.B, address string) *http.Request {
	req, err := http.NewRequest("GET", "http://"+address+"/offers?page=1", nil)
	assert.NilError(b, err)
	req.Host = testHost
	return req
}
