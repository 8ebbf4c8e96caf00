package memworkers

import "time"

// SetSlow makes all later runs of a worker's present and next incarnations take a multiple of their time; 1 ends that.
func (fl *Fleet) SetSlow(id string, factor int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.slow[id] = factor
}

// runTime returns how long a run takes that begins on a worker now.
func (fl *Fleet) runTime(id string) time.Duration { return fl.run * time.Duration(max(fl.slow[id], 1)) }
