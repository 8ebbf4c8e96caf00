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

// TestForecast checks the mean error of predictions for estimates of all qualities: it must be near that of
// the better of the estimates alone and the mean run time alone.
func TestForecast(t *testing.T) {
	tests := map[string]struct {
		// noise is the standard deviation of the estimates' logarithm, bias their factor.
		noise, bias float64
		maxError    float64
	}{
		"exact":                      {noise: 0, bias: 1, maxError: 0.01},
		"good":                       {noise: 0.2, bias: 1, maxError: 0.2},
		"good, but half":             {noise: 0.2, bias: 0.5, maxError: 0.2},
		"as noisy as the run times":  {noise: 0.5, bias: 1, maxError: 0.32},
		"unrelated to the run times": {noise: 3, bias: 1, maxError: 0.45},
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
				estimate := seconds(took * tt.bias * math.Exp(tt.noise*rd.NormFloat64()))
				if n >= runs-measured {
					sum += math.Abs(math.Log(md.Predict(estimate).Seconds() / took))
				}
				md.Observe(estimate, seconds(took))
			}
			t.Logf("mean error of the logarithm: %.3f", sum/measured)
			is.True(sum/measured <= tt.maxError)
		})
	}
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

func ExampleModel_Predict() {
	var md forecast.Model
	fmt.Println(md.Predict(4 * time.Second))
	for range 100 {
		md.Observe(2*time.Second, time.Second) // estimates are twice the run time
		md.Observe(8*time.Second, 4*time.Second)
	}
	fmt.Println(md.Predict(4 * time.Second).Round(time.Second))
	// Output:
	// 4s
	// 2s
}
