package chutemetric_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutemetric"
	"monsoonchute.example/monsoonchute/chutering"
)

// TestMetricsAreServedInPrometheusFormat records a counter, a histogram and the gauges of a ring, and reads them from
// the HTTP handler.
func TestMetricsAreServedInPrometheusFormat(t *testing.T) {
	is := is.New(t)
	metrics, cleanUp := chutemetric.New()
	defer cleanUp()
	metrics.Count("call-refused", "unknown-key")
	metrics.Count("call-refused", "unknown-key")
	metrics.ObserveKind("acceptance", "queue-a", 20*time.Millisecond)
	metrics.SetRingStats(chutering.RingStats{Name: "core", Depth: 3, Size: 10, Refused: 1})
	wanted := []string{
		`monsoonchute_call_refused{reason="unknown_key"} 2`,
		`monsoonchute_acceptance_count{kind="queue_a"} 1`,
		`monsoonchute_ring_depth{ring="core"} 3`,
		`monsoonchute_ring_refused{ring="core"} 1`,
	}
	text := ""
	ticker := time.NewTicker(50 * time.Millisecond) // metrics are exported once a second
	defer ticker.Stop()
	for range 100 {
		recorder := httptest.NewRecorder()
		metrics.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		text = recorder.Body.String()
		if strings.Contains(text, wanted[0]) && strings.Contains(text, wanted[1]) {
			break
		}
		<-ticker.C
	}
	for _, line := range wanted {
		if !strings.Contains(text, line) {
			t.Log(text)
		}
		is.True(strings.Contains(text, line)) // the handler serves the line
	}
}
