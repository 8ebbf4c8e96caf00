// Package work describes the jobs that a cell of workers runs: what a caller asked
// for, free of the interface through which it came.
package work

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"tackbeam.example/policy/size"
)

// Queue is what the configuration says of the route through which a job came. It
// travels with the job, so that a job outlives its route.
type Queue struct {
	Name     string        `cbor:"1,keyasint"`
	Service  string        `cbor:"2,keyasint"`
	Priority int           `cbor:"3,keyasint"`
	Attempts int           `cbor:"4,keyasint"`
	Stretch  float64       `cbor:"5,keyasint"`
	Target   time.Duration `cbor:"6,keyasint"`
	// Advised queues run a step only on workers that the advisor allowed.
	Advised bool `cbor:"7,keyasint,omitempty"`
	// AdviceBase and AdviceEach are what one question takes: at all, and for each worker named.
	AdviceBase time.Duration `cbor:"8,keyasint,omitempty"`
	AdviceEach time.Duration `cbor:"9,keyasint,omitempty"`
	// Version is one of the configuration that has these settings, or that of a later one.
	Version uint64 `cbor:"10,keyasint,omitempty"`
}

// Later returns the settings of the later version, and the present ones where both are of one. A
// node whose copy is old must not take back what another node accepted a job with.
func (qu Queue) Later(present Queue) Queue {
	if present.Version < qu.Version {
		return qu
	}
	return present
}

// Step is a number of like tasks.
type Step struct {
	Count    int           `cbor:"1,keyasint"`
	Need     size.Size     `cbor:"2,keyasint"`
	Estimate time.Duration `cbor:"3,keyasint"`
	// After lists the steps, by number, that must have ended before.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints is true where tasks save their progress.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang tasks run only all together.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack tasks are slow on more than one rack.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label is one that the worker must have; empty means any.
	Label string `cbor:"8,keyasint,omitempty"`
	// Rack is the one near the data; empty means any.
	Rack string `cbor:"9,keyasint,omitempty"`
	// PerWorker is the most tasks of the step on one worker; 0 means any number.
	PerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative tasks may run in several copies.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// BestEffort tasks take no processors of their own, only what others leave.
	BestEffort bool `cbor:"13,keyasint,omitempty"`
	// MaxUnavailable is how many lasting tasks may be away at once by a decision of the system.
	MaxUnavailable int    `cbor:"14,keyasint,omitempty"`
	Image          string `cbor:"15,keyasint,omitempty"`
	// TargetLatency is the latency that the users of a lasting task are promised.
	TargetLatency time.Duration `cbor:"16,keyasint,omitempty"`
}

// Repeat says when the steps of a job run, each time as a round of its own.
type Repeat struct {
	Count int `cbor:"1,keyasint"`
	// Start is the time of day of round 0, since 1970.
	Start time.Duration `cbor:"2,keyasint"`
	Every time.Duration `cbor:"3,keyasint"`
}

// Job is one accepted piece of work.
type Job struct {
	ID     string  `cbor:"1,keyasint"`
	Queue  Queue   `cbor:"2,keyasint"`
	Spec   string  `cbor:"3,keyasint"`
	Steps  []Step  `cbor:"4,keyasint"`
	Repeat *Repeat `cbor:"5,keyasint,omitempty"`
	// Workspace is whose work it is.
	Workspace Workspace `cbor:"6,keyasint,omitzero"`
}

// Rounds is how many times the steps run.
func (jb *Job) Rounds() int {
	if jb.Repeat == nil {
		return 1
	}
	return jb.Repeat.Count
}

// maxTasks bounds what one job takes of a node's memory: at some 200 bytes a task 2 MB;
// the widest jobs of the deployments have some hundred tasks.
const maxTasks = 10000

// Check returns what makes the job impossible to run as it was sent, or nil.
func (jb *Job) Check() error {
	if jb.ID == "" || strings.Contains(jb.ID, ".") {
		return fmt.Errorf("job id %q is empty or has a dot", jb.ID)
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

// CheckLimit returns what of the job can never run within the limit of its workspace, or nil: a task, or
// the tasks of a gang together, since these run only all at once.
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

// Allocation is the room that one task of the step takes of a worker and of its workspace's limit.
func (st *Step) Allocation() size.Size {
	if st.BestEffort {
		return size.New(0, st.Need.Memory(), st.Need.Accelerators())
	}
	return st.Need
}

// Task names one task of one round of a job.
type Task struct {
	Job   string `cbor:"1,keyasint"`
	Round int    `cbor:"2,keyasint,omitempty"`
	Step  int    `cbor:"3,keyasint,omitempty"`
	Index int    `cbor:"4,keyasint,omitempty"`
}

// String returns the name under which workers know the task.
func (tk Task) String() string {
	return tk.StepName() + "." + strconv.Itoa(tk.Index)
}

// StepName returns the name of the task's step in its round.
func (tk Task) StepName() string {
	return tk.Job + "." + strconv.Itoa(tk.Round) + "." + strconv.Itoa(tk.Step)
}

// ParseTask reads a name that String wrote.
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
