package work

import "tackbeam.example/policy/size"

// Workspace is what the configuration says of whose work a job is. It travels with the job, so that
// a job outlives the API key that it came with. The zero value is none: nothing limits the job.
type Workspace struct {
	Name string `cbor:"1,keyasint,omitempty"`
	// Weight is the workspace's share when all is full, and the jobs a second that it is owed.
	Weight float64 `cbor:"2,keyasint,omitempty"`
	// Limit is the most that it may have running; a dimension of 0 has no limit.
	Limit size.Size `cbor:"3,keyasint,omitempty"`
	// Version is one of the configuration that has these settings, or that of a later one.
	Version uint64 `cbor:"4,keyasint,omitempty"`
}

// Later returns the settings of the later version, and the present ones where both are of one.
func (ws Workspace) Later(present Workspace) Workspace {
	if present.Version < ws.Version {
		return ws
	}
	return present
}

// Exceeds returns the first dimension in which an amount is over the limit.
func (ws Workspace) Exceeds(amount size.Size) (size.Dimension, bool) {
	for d, most := range ws.Limit {
		if most > 0 && amount[d] > most {
			return size.Dimension(d), true
		}
	}
	return 0, false
}
