// Package evacuation describes the evacuation of a data hall, whose workers get no new tasks until it is withdrawn.
package evacuation

// Status is the state of one evacuation as the planner knows it.
type Status struct {
	Hall string `json:"hall" cbor:"1,keyasint"`
	// KnownForMS is for how many milliseconds the planner has known of it. A new planner begins anew.
	KnownForMS int64 `json:"known_for_ms" cbor:"2,keyasint"`
	// Runs is the number of runs that the hall's workers have, or may have.
	Runs int `json:"runs" cbor:"3,keyasint"`
}
