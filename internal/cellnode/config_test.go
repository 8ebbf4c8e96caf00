package cellnode_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/metricsrv"
)

// TestConfigGauges checks the metrics for the active configuration and the age of its copy.
func TestConfigGauges(t *testing.T) {
	is := is.New(t)
	dp := newDeployment(t)
	nd := dp.start("n1")
	text := string(metricsrv.Text(nd.Meters()))
	is.True(strings.Contains(text, "\ntackbeam_config_routes 1\n"))
	is.True(strings.Contains(text, "\ntackbeam_config_version "))
	is.True(strings.Contains(text, "tackbeam_config_age_ms "))
	is.True(!strings.Contains(text, "tackbeam_config_age_ms -1"))
}
