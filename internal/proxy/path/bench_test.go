package path_test

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkPath measures a call through both nodes against a direct one; the
// difference in allocations is what the nodes cost.
func BenchmarkPath(b *testing.B) {
	backend := backendOf(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 1<<10)) })
	for _, tt := range []struct{ name, address string }{{"direct", backend}, {"path", newPath(b, backend)}} {
		b.Run(tt.name, func(b *testing.B) {
			c := clientOf(b, false)
			b.ReportAllocs()
			for b.Loop() {
				req := newCallWithout(b, tt.address)
				resp, err := c.Do(req)
				assert.NilError(b, err)
				_, err = io.Copy(io.Discard, resp.Body)
				assert.NilError(b, err)
				_ = resp.Body.Close()
			}
		})
	}
}

func newCallWithout(b *testing.B, address string) *http.Request {
	req, err := http.NewRequest("GET", "http://"+address+"/offers?page=1", nil)
	assert.NilError(b, err)
	req.Host = testHost
	return req
}
