package work

// Bytes that the planner needs for the parts of a job, without the runs of its tasks.
const (
	// EndedFootprint is for a job that has ended and can still be queried.
	EndedFootprint = 1200
	jobFootprint   = 1300 + EndedFootprint
	// defFootprint is for the definition of a step, which all rounds share, afterFootprint for one entry of Step.After.
	defFootprint   = 192
	afterFootprint = 14
	// slotFootprint is for a step of a round, stepFootprint and taskFootprint are for one that has been made, and its tasks.
	slotFootprint = 32
	stepFootprint = 1500
	taskFootprint = 176
)

// MinOpenRounds is the number of rounds that may be open however many tasks they have, so that rounds that overlap do not wait
// for each other.
const MinOpenRounds = 4

// Footprint returns how many bytes the planner needs for the job at least until it has ended.
func (jb *Job) Footprint() int64 {
	return jb.DefinitionFootprint() + jb.RoundFootprint()*int64(min(jb.Rounds(), MinOpenRounds))
}

// DefinitionFootprint returns how many bytes the planner needs for what the caller has defined, without the rounds of the job.
func (jb *Job) DefinitionFootprint() int64 {
	bytes := jobFootprint + len(jb.ID) + len(jb.Spec)
	for num := range jb.Steps {
		st := &jb.Steps[num]
		bytes += defFootprint + afterFootprint*len(st.After) + len(st.Label) + len(st.Rack) + len(st.Image)
	}
	return int64(bytes)
}

// Footprint returns how many bytes the planner needs for the step and its tasks while they wait or run.
func (st *Step) Footprint() int64 { return int64(stepFootprint + taskFootprint*st.Count) }

// RoundFootprint returns how many bytes the planner needs for one open round of the job, at most. The steps are divided into chains,
// in each of which a step comes after the one before, so that only one of them waits or runs at a time.
func (jb *Job) RoundFootprint() int64 {
	bytes := int64(slotFootprint * len(jb.Steps))
	// largest is the largest step of each chain, chain that of each step, continued says which steps are not the last of theirs.
	var largest []int64
	chain, continued := make([]int, len(jb.Steps)), make([]bool, len(jb.Steps))
	for num := range jb.Steps {
		chain[num] = len(largest)
		for _, before := range jb.Steps[num].After {
			if !continued[before] {
				chain[num], continued[before] = chain[before], true
				break
			}
		}
		if chain[num] == len(largest) {
			largest = append(largest, 0)
		}
		if each := jb.Steps[num].Footprint(); each > largest[chain[num]] {
			bytes += each - largest[chain[num]]
			largest[chain[num]] = each
		}
	}
	return bytes
}
