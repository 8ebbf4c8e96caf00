package fairshare

import (
	"math"
	"testing"
)

// TestDivide guards against small workspaces that pay for large ones, and against a rate that is left over while some
// ask for more.
func TestDivide(t *testing.T) {
	even := func(work ...float64) (asks []ask) {
		for _, one := range work {
			asks = append(asks, ask{work: one, weight: 1})
		}
		return asks
	}
	tests := map[string]struct {
		rate float64
		asks []ask
		want []float64 // the part of each ask that is granted
	}{
		"none asks":                       {rate: 1},
		"all fit":                         {rate: 1, asks: even(0.2, 0.3), want: []float64{0.2, 0.3}},
		"one large":                       {rate: 1, asks: even(0.1, 5, 0.2), want: []float64{0.1, 0.7, 0.2}},
		"two large":                       {rate: 1, asks: even(0.1, 5, 2), want: []float64{0.1, 0.45, 0.45}},
		"large and weighted":              {rate: 1, asks: []ask{{5, 3}, {5, 1}}, want: []float64{0.75, 0.25}},
		"heavy, but asks for little":      {rate: 1, asks: []ask{{0.1, 9}, {5, 1}, {5, 1}}, want: []float64{0.1, 0.45, 0.45}},
		"nothing to divide":               {rate: 0, asks: even(0.1, 5), want: []float64{0, 0}},
		"large one is relieved by others": {rate: 1, asks: even(0.3, 0.34, 0.36), want: []float64{0.3, 0.34, 0.36}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for at, level := range (allowance{rate: tt.rate}).divide(tt.asks) {
				if got := min(level, tt.asks[at].work); math.Abs(got-tt.want[at]) > 1e-9 {
					t.Errorf("ask %d gets %g, want %g", at, got, tt.want[at])
				}
			}
		})
	}
}
