// Package work describes the jobs that a cell of workers runs: what a caller requested, independent of the
// API through which the request came.
package work

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"tackbeam.example/policy/size"
)

// Queue holds the settings of the route through which a job was submitted. They are stored with the job, so
// that the job can run on after its route is removed.
type Queue struct {
	Name    string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	// Priority 0 is urgent.
	Priority int `cbor:"3,keyasint"`
	// Attempts is the number of failures after which a task, or a gang, is not run again.
	Attempts int `cbor:"4,keyasint"`
	// Stretch and Target set when a round should have ended: Stretch times the expected run time of its critical
	// path, plus Target, after the job arrived or a recurring round was due. A long-running step has no end; its
	// missing tasks should start within Target.
	Stretch float64       `cbor:"5,keyasint"`
	Target  time.Duration `cbor:"6,keyasint"`
	// Advised queues run a step only on workers that the advisor permits.
	Advised bool `cbor:"7,keyasint,omitempty"`
	// AdviceBase and AdviceEach are the expected duration of an advice request: a fixed part, and a part per
	// worker named in it.
	AdviceBase time.Duration `cbor:"8,keyasint,omitempty"`
	AdviceEach time.Duration `cbor:"9,keyasint,omitempty"`
	// Version is the version of a configuration with these settings, not necessarily the first one.
	Version uint64 `cbor:"10,keyasint,omitempty"`
}

// Later returns the settings with the later version, or the current ones if the versions are equal. A node
// with an old copy of the configuration must not revert the settings with which another node accepted a job.
func (qu Queue) Later(current Queue) Queue {
	if current.Version < qu.Version {
		return qu
	}
	return current
}

// Step is a number of identical tasks.
type Step struct {
	Count    int           `cbor:"1,keyasint"`
	Need     size.Size     `cbor:"2,keyasint"`
	Estimate time.Duration `cbor:"3,keyasint"`
	// After lists the numbers of the steps that must have ended before this one starts.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints is set if the tasks save their progress.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang tasks run only all at the same time.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack tasks run slowly if they are spread over several racks.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label is a label that the worker must have; empty means any worker.
	Label string `cbor:"8,keyasint,omitempty"`
	// Rack is the rack close to the data; empty means any.
	Rack string `cbor:"9,keyasint,omitempty"`
	// PerWorker is the maximum number of the step's tasks on one worker; 0 means no limit.
	PerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative tasks may run as several copies at the same time.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// BestEffort tasks reserve no processors and use only what other tasks leave idle.
	BestEffort bool `cbor:"13,keyasint,omitempty"`
	// MaxUnavailable is how many long-running tasks the scheduler may take down at the same time.
	MaxUnavailable int    `cbor:"14,keyasint,omitempty"`
	Image          string `cbor:"15,keyasint,omitempty"`
	// TargetLatency is the tail latency promised to the users of a long-running task.
	TargetLatency time.Duration `cbor:"16,keyasint,omitempty"`
}

// Repeat is the schedule of a recurring job; each run of its steps is a round.
type Repeat struct {
	Count int `cbor:"1,keyasint"`
	// Start is when round 0 starts, as the time since 1970.
	Start time.Duration `cbor:"2,keyasint"`
	Every time.Duration `cbor:"3,keyasint"`
}

// Due returns when a round is due, as the time since 1970, but at least 0. A time after the year 2262, which is too large
// for a Duration, counts as the largest one, so that the round does not begin early.
func (rp *Repeat) Due(round int) time.Duration {
	const last = time.Duration(math.MaxInt64)
	offset := time.Duration(round) * rp.Every
	if round > 0 && offset/time.Duration(round) != rp.Every { // the product is out of range
		if rp.Every > 0 {
			return last
		}
		return 0
	}
	due := rp.Start + offset
	switch {
	case offset > 0 && due < rp.Start: // the sum is out of range
		return last
	case offset < 0 && due > rp.Start:
		return 0
	}
	return max(due, 0)
}

// Job is an accepted job.
type Job struct {
	ID     string  `cbor:"1,keyasint"`
	Queue  Queue   `cbor:"2,keyasint"`
	Spec   string  `cbor:"3,keyasint"`
	Steps  []Step  `cbor:"4,keyasint"`
	Repeat *Repeat `cbor:"5,keyasint,omitempty"`
	// Workspace is the workspace that submitted the job.
	Workspace Workspace `cbor:"6,keyasint,omitzero"`
}

// Rounds returns how many times the steps run.
func (jb *Job) Rounds() int {
	if jb.Repeat == nil {
		return 1
	}
	return jb.Repeat.Count
}

// maxTasks limits the memory that one job uses on a node to 2 MB, at about 200 bytes per task. The largest
// jobs of known deployments have a few hundred tasks.
const maxTasks = 10000

// Check returns an error if the job cannot run as it was submitted.
func (jb *Job) Check() error {
	if jb.ID == "" || strings.Contains(jb.ID, ".") {
		return fmt.Errorf("job id %q is empty or contains a dot", jb.ID)
	}
	if !utf8.ValidString(jb.ID) {
		return fmt.Errorf("job id %q is not valid UTF-8", jb.ID)
	}
	if len(jb.Steps) == 0 {
		return fmt.Errorf("job %s has no steps; give at least one", jb.ID)
	}
	tasks := 0
	for num, st := range jb.Steps {
		if st.Count <= 0 {
			return fmt.Errorf("step %d of job %s has %d tasks; give at least one", num, jb.ID, st.Count)
		}
		if tasks += st.Count; st.Count > maxTasks || tasks > maxTasks {
			return fmt.Errorf("job %s has more than %d tasks; give at most that many", jb.ID, maxTasks)
		}
		if !(size.Size{}).Fits(st.Need) {
			return fmt.Errorf("step %d of job %s needs a negative amount", num, jb.ID)
		}
		for _, before := range st.After {
			if before < 0 || before >= num {
				return fmt.Errorf("step %d of job %s comes after step %d, which is not an earlier one", num, jb.ID, before)
			}
		}
	}
	return nil
}

// CheckLimit returns an error if a step of the job can never run within the limit of its workspace: one task
// exceeds it or, since the tasks of a gang run only at the same time, all tasks of a gang together.
func (jb *Job) CheckLimit() error {
	for num, st := range jb.Steps {
		together := st.Allocation()
		if st.Gang {
			together = together.Times(int64(st.Count))
		}
		if d, over := jb.Workspace.Exceeds(together); over {
			return fmt.Errorf("step %d of job %s needs %s at once; the limit of workspace %q is %s (%s is too much)",
				num, jb.ID, together, jb.Workspace.Name, jb.Workspace.Limit, d)
		}
	}
	return nil
}

// Allocation returns the resources that one task of the step takes from a worker and from its workspace's limit.
func (st *Step) Allocation() size.Size {
	if st.BestEffort {
		return size.New(0, st.Need.Memory(), st.Need.Accelerators())
	}
	return st.Need
}

// Task identifies one task of one round of a job.
type Task struct {
	Job   string `cbor:"1,keyasint"`
	Round int    `cbor:"2,keyasint,omitempty"`
	Step  int    `cbor:"3,keyasint,omitempty"`
	Index int    `cbor:"4,keyasint,omitempty"`
}

// String returns the task's name, as used by workers.
func (tk Task) String() string {
	return tk.StepName() + "." + strconv.Itoa(tk.Index)
}

// StepName returns the name of the task's step in its round.
func (tk Task) StepName() string {
	return tk.Job + "." + strconv.Itoa(tk.Round) + "." + strconv.Itoa(tk.Step)
}

// ParseTask parses a name returned by Task.String.
func ParseTask(name string) (Task, error) {
	const parts = 4
	fields := strings.Split(name, ".")
	if len(fields) != parts || fields[0] == "" {
		return Task{}, fmt.Errorf("task name %q is not JOB.ROUND.STEP.INDEX", name)
	}
	var nums [parts - 1]int
	for at, field := range fields[1:] {
		num, err := strconv.Atoi(field)
		if err != nil || num < 0 {
			return Task{}, fmt.Errorf("task name %q is not JOB.ROUND.STEP.INDEX", name)
		}
		nums[at] = num
	}
	return Task{Job: fields[0], Round: nums[0], Step: nums[1], Index: nums[2]}, nil
}
