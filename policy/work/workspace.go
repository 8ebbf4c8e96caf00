package work

import "tackbeam.example/policy/size"

// Workspace holds the settings of the workspace that a job belongs to. They are stored with the job, so that
// the job can run on after the API key that submitted it is removed. The zero value means no workspace: the
// job is not limited.
type Workspace struct {
	Name string `cbor:"1,keyasint,omitempty"`
	// Weight is the workspace's share of a full cell, and its guaranteed rate in jobs per second.
	Weight float64 `cbor:"2,keyasint,omitempty"`
	// Limit is the maximum that it may have running; 0 in a dimension means no limit.
	Limit size.Size `cbor:"3,keyasint,omitempty"`
	// Version is the version of a configuration with these settings, not necessarily the first one.
	Version uint64 `cbor:"4,keyasint,omitempty"`
}

// Later returns the settings with the later version, or the current ones if the versions are equal.
func (ws Workspace) Later(current Workspace) Workspace {
	if current.Version < ws.Version {
		return ws
	}
	return current
}

// Exceeds returns the first dimension in which an amount exceeds the limit, and whether there is one.
func (ws Workspace) Exceeds(amount size.Size) (size.Dimension, bool) {
	for d, limit := range ws.Limit {
		if limit > 0 && amount[d] > limit {
			return size.Dimension(d), true
		}
	}
	return 0, false
}
