package launcher

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against metric names that the reporter rejects, which made the daemons panic at
// startup.
func TestMetricsAreServed(t *testing.T) {
	metrics := NewMetrics("entry", "entry-1")
	metrics.Scope.Tagged(map[string]string{"kind": "place"}).Counter("decisions").Inc(3)
	metrics.Scope.Gauge("waiting_tasks").Update(2)
	// Close sends a final report, so the test need not wait for the next interval.
	metrics.Close()
	response := httptest.NewRecorder()
	metrics.Handler.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{
		`burdockrudder_decisions{kind="place",name="entry-1",role="entry"} 3`,
		`burdockrudder_waiting_tasks{name="entry-1",role="entry"} 2`,
	} {
		if !strings.Contains(response.Body.String(), want) {
			t.Errorf("%q is missing from:\n%s", want, response.Body)
		}
	}
}
