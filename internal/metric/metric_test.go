package metric_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// TestMetrics checks that counters and histograms are served under their documented
// names and labels, with one series for each reason.
func TestMetrics(t *testing.T) {
	is := is.New(t)
	metrics := metric.New("a-1", "bkk-a")
	metrics.CountRefusal(refusal.RateExceeded)
	metrics.CountRetry("append")
	metrics.ObserveLatency("call", 3*time.Millisecond)
	is.NoErr(metrics.Close()) // reports the remaining values
	server := httptest.NewServer(metrics.Handler())
	defer server.Close()
	response, err := http.Get(server.URL)
	is.NoErr(err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	for _, line := range []string{
		`godwitspread_refusals{data_centre="bkk-a",host="a-1",reason="rate_exceeded"} 1`,
		`godwitspread_retries{data_centre="bkk-a",host="a-1",reason="append"} 1`,
		`godwitspread_call_count{data_centre="bkk-a",host="a-1"} 1`,
	} {
		is.True(strings.Contains(string(body), line))
	}
}
