// Package size holds the three dimensions that a worker offers and a task takes.
package size

import "fmt"

// Dimension indexes one component of a Size.
type Dimension int

// The dimensions of a Size, in order of storage.
const (
	Processors Dimension = iota
	Memory
	Accelerators
	dimensions
)

// names are the column names of the dimensions.
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

// Fits reports whether the size is within room in every dimension.
func (sz Size) Fits(room Size) bool {
	_, ok := sz.Excess(room)
	return !ok
}

// Excess returns the first dimension in which the size is over room.
func (sz Size) Excess(room Size) (Dimension, bool) {
	for d := range sz {
		if sz[d] > room[d] {
			return Dimension(d), true
		}
	}
	return 0, false
}

// Valid reports whether no component is negative.
func (sz Size) Valid() bool { return Size{}.Fits(sz) }

// IsZero reports whether every component is zero.
func (sz Size) IsZero() bool { return sz == Size{} }

// DominantShare returns the largest fraction that the size takes of whole: the dominant
// share. Dimensions that whole lacks are passed over.
func (sz Size) DominantShare(whole Size) float64 {
	var most float64
	for d := range sz {
		if whole[d] > 0 {
			most = max(most, float64(sz[d])/float64(whole[d]))
		}
	}
	return most
}

// Count returns how many times the size fits into room; limit bounds the answer.
func (sz Size) Count(room Size, limit int64) int64 {
	n := limit
	for d := range sz {
		if sz[d] > 0 {
			n = min(n, room[d]/sz[d])
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

// String returns the size for people, for example "1.5 cores, 512 MiB, 0 accelerators".
func (sz Size) String() string {
	return fmt.Sprintf("%g cores, %d MiB, %d accelerators",
		float64(sz[Processors])/milliPerCore, sz[Memory], sz[Accelerators])
}

// FitCount returns how many times the size need fits into this one; a need of nothing
// fits many times.
func (sz Size) FitCount(need Size) int {
	const many = 1 << 20
	count := int64(many)
	for d := range sz {
		if need[d] > 0 {
			count = min(count, max(sz[d], 0)/need[d])
		}
	}
	return int(count)
}
