// Package size implements resource amounts: the capacity of a worker or the demand of a task, in three dimensions.
package size

import "fmt"

// Dimension indexes one component of a Size.
type Dimension int

// The dimensions of a Size, in index order.
const (
	Processors Dimension = iota
	Memory
	Accelerators
	dimensions
)

// names are the names of the dimensions, as used for table columns.
var names = [dimensions]string{"processors", "memory", "accelerators"}

// String returns the column name of the dimension.
func (d Dimension) String() string { return names[d] }

// Size is an amount in each dimension: processors in thousandths of a core,
// memory in MiB, accelerators in whole devices. It encodes as an array.
type Size [dimensions]int64

// New returns a Size from milli-processors, MiB and accelerators.
func New(milli, mib, acc int64) Size { return Size{milli, mib, acc} }

// Processors returns thousandths of a core.
func (sz Size) Processors() int64 { return sz[Processors] }

// Memory returns MiB.
func (sz Size) Memory() int64 { return sz[Memory] }

// Accelerators returns whole devices.
func (sz Size) Accelerators() int64 { return sz[Accelerators] }

// Add returns the sum of the two sizes.
func (sz Size) Add(other Size) Size {
	for d := range sz {
		sz[d] += other[d]
	}
	return sz
}

// Sub returns the difference of the two sizes; components may turn negative.
func (sz Size) Sub(other Size) Size {
	for d := range sz {
		sz[d] -= other[d]
	}
	return sz
}

// Times returns the size multiplied by n.
func (sz Size) Times(n int64) Size {
	for d := range sz {
		sz[d] *= n
	}
	return sz
}

// Fits reports whether the size is at most available in every dimension.
func (sz Size) Fits(available Size) bool {
	_, ok := sz.Excess(available)
	return !ok
}

// Excess returns the first dimension in which the size exceeds available, and whether there is one.
func (sz Size) Excess(available Size) (Dimension, bool) {
	for d := range sz {
		if sz[d] > available[d] {
			return Dimension(d), true
		}
	}
	return 0, false
}

// Valid reports whether no component is negative.
func (sz Size) Valid() bool { return Size{}.Fits(sz) }

// IsZero reports whether every component is zero.
func (sz Size) IsZero() bool { return sz == Size{} }

// DominantShare returns the largest fraction of total that the size is in any dimension. Dimensions in which
// total is zero are skipped.
func (sz Size) DominantShare(total Size) float64 {
	var share float64
	for d := range sz {
		if total[d] > 0 {
			share = max(share, float64(sz[d])/float64(total[d]))
		}
	}
	return share
}

// Count returns how many times the size fits into available, at most limit.
func (sz Size) Count(available Size, limit int64) int64 {
	n := limit
	for d := range sz {
		if sz[d] > 0 {
			n = min(n, available[d]/sz[d])
		}
	}
	return max(n, 0)
}

// Max returns the component-wise maximum of the two sizes.
func (sz Size) Max(other Size) Size {
	for d := range sz {
		sz[d] = max(sz[d], other[d])
	}
	return sz
}

// Min returns the component-wise minimum of the two sizes.
func (sz Size) Min(other Size) Size {
	for d := range sz {
		sz[d] = min(sz[d], other[d])
	}
	return sz
}

// String returns the size in readable form, for example "1.5 cores, 512 MiB, 0 accelerators".
func (sz Size) String() string {
	return fmt.Sprintf("%g cores, %d MiB, %d accelerators",
		float64(sz[Processors])/milliPerCore, sz[Memory], sz[Accelerators])
}

// FitCount returns how many times need fits into the size, at most 2^20, which is also the result for a zero
// need.
func (sz Size) FitCount(need Size) int {
	const maxCount = 1 << 20
	count := int64(maxCount)
	for d := range sz {
		if need[d] > 0 {
			count = min(count, max(sz[d], 0)/need[d])
		}
	}
	return int(count)
}
