package work

// Bytes that the planner needs for the parts of a job, without the runs of its tasks.
const (
	// EndedFootprint is for a job that has ended and can still be queried.
	EndedFootprint = 1200
	jobFootprint   = 1300 + EndedFootprint
	stepFootprint  = 1500
	taskFootprint  = 176
	// defFootprint is for the definition of a step, which all rounds share, afterFootprint for one entry of Step.After.
	defFootprint   = 192
	afterFootprint = 12
)

// DefinitionFootprint returns how many bytes the planner needs for what the caller has defined, without the rounds of the job.
func (jb *Job) DefinitionFootprint() int64 {
	bytes := jobFootprint + len(jb.ID) + len(jb.Spec)
	for num := range jb.Steps {
		st := &jb.Steps[num]
		bytes += defFootprint + afterFootprint*len(st.After) + len(st.Label) + len(st.Rack) + len(st.Image)
	}
	return int64(bytes)
}

// RoundFootprint returns how many bytes the planner needs for one open round of the job.
func (jb *Job) RoundFootprint() int64 {
	bytes := 0
	for num := range jb.Steps {
		bytes += stepFootprint + taskFootprint*jb.Steps[num].Count
	}
	return int64(bytes)
}

// MinOpenRounds is the number of rounds that may be open however many tasks they have, so that rounds that overlap do not wait
// for each other.
const MinOpenRounds = 4

// Footprint returns how many bytes the planner needs for the job at least until it has ended.
func (jb *Job) Footprint() int64 {
	return jb.DefinitionFootprint() + jb.RoundFootprint()*int64(min(jb.Rounds(), MinOpenRounds))
}
