package outbound

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// TestMissingRouteLogsConfigAge guards against a refusal for a missing route whose
// log line does not show that the node's configuration was out of date.
func TestMissingRouteLogsConfigAge(t *testing.T) {
	var out bytes.Buffer
	snapshots := snapshot.NewCache()
	snapshots.Install(&snapshot.Snapshot{Generation: 1})
	p := New(Config{
		HopConfig: proxy.HopConfig{Logger: slog.New(slog.NewJSONHandler(&out, nil))}, Snapshots: snapshots,
		ConfigAge: func() (time.Duration, bool) { return 4 * time.Second, true },
	})
	w := httptest.NewRecorder()
	p.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://shop.example/new/", nil))
	assert.Equal(t, w.Code, http.StatusNotFound)
	var line struct {
		Reason    string `json:"reason"`
		ConfigAge int64  `json:"config_age_ms"`
	}
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	assert.Equal(t, line.Reason, proxy.ReasonNoRoute)
	assert.Equal(t, line.ConfigAge, int64(4000))
}
