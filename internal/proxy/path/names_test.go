package path_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy/inbound"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// TestCallsOfServicesWithAnyName guards against calls that are refused as meant for
// another service, or cannot be sent, because the name of the service or route does
// not fit into a header unchanged.
func TestCallsOfServicesWithAnyName(t *testing.T) {
	for _, name := range []string{"shop", "shop_v2", " shop ", "Shop/ü%2F", "a\r\nb", "100%"} {
		node := startTestNode(t, "a", startBackend(t, func(http.ResponseWriter, *http.Request) {}), func(cfg *inbound.Config) { cfg.Service = name })
		address := startOutboundProxy(t, []string{node.address}, func(r *snapshot.Route) {
			r.Service.Name, r.ID = name, name+"/"+name
		})
		resp, body, err := sendRequest(t, newHTTPClient(t, false), newRequest(t, "GET", address, "/", nil))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, 200, "%q: %s", name, body)
	}
}
