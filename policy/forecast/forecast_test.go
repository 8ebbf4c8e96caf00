package forecast_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/forecast"
)

// TestForecast checks how far what is expected is off, beside the estimates alone and the
// mean run alone, for estimates of all qualities.
func TestForecast(t *testing.T) {
	tests := map[string]struct {
		// off is the spread of the estimates' logarithm, bias their factor.
		off, bias float64
		most      float64
	}{
		"exact":              {off: 0, bias: 1, most: 0.01},
		"good":               {off: 0.2, bias: 1, most: 0.2},
		"good, but half":     {off: 0.2, bias: 0.5, most: 0.2},
		"as wide as the run": {off: 0.5, bias: 1, most: 0.32},
		"worth nothing":      {off: 3, bias: 1, most: 0.45},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rd := rand.New(rand.NewPCG(1, 2))
			var md forecast.Model
			var sum float64
			const runs, measured = 600, 500
			for n := range runs {
				took := 3 * math.Exp(0.5*rd.NormFloat64())
				estimate := seconds(took * tt.bias * math.Exp(tt.off*rd.NormFloat64()))
				if n >= runs-measured {
					sum += math.Abs(math.Log(md.Predict(estimate).Seconds() / took))
				}
				md.Observe(estimate, seconds(took))
			}
			t.Logf("off by %.3f in the mean", sum/measured)
			is.True(sum/measured <= tt.most)
		})
	}
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

func ExampleModel_Predict() {
	var md forecast.Model
	fmt.Println(md.Predict(4 * time.Second))
	for range 100 {
		md.Observe(2*time.Second, time.Second) // estimates are twice the run
		md.Observe(8*time.Second, 4*time.Second)
	}
	fmt.Println(md.Predict(4 * time.Second).Round(time.Second))
	// Output:
	// 4s
	// 2s
}
