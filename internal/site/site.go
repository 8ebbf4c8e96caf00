// Package site describes a node's place in the deployment and the time limits that the deployment
// guarantees. A node reads them from its settings, before it contacts any other component.
package site

import (
	"time"

	"tackbeam.example/policy/feature"
)

// Site is the place of one node in a deployment.
type Site struct {
	Node   string
	Hall   string
	Region string
	// IP is the node's address.
	IP string
	// Processors is the number of cores that the node may use; 0 if the settings do not specify it.
	Processors float64
	// LinkMbps is the bandwidth of the node's network link in Mbit/s; 0 if the settings do not specify it.
	LinkMbps float64
	// MaxSockets is the number of sockets that the process may have open; 0 if the settings do not specify it.
	MaxSockets int
	// MemoryMB is the memory in MB (10^6 bytes) beyond which the process is killed; 0 if the settings do not specify it.
	MemoryMB int
	// CallerAddr, ReadyAddr and PeerAddr are the addresses to listen on for callers, for the load
	// balancer's readiness checks and for other nodes.
	CallerAddr string
	ReadyAddr  string
	PeerAddr   string
	// StoreAddr is the address of the platform's key-value service. StoreWriteRate is the number of
	// write calls per second that all nodes together may make.
	StoreAddr      string
	StoreWriteRate float64
	// StoreReadRate is the same limit for read calls; 0 if the settings do not specify it.
	StoreReadRate float64
	// AdvisorAddr is the address of the service that allows workers for steps; empty if there is none.
	AdvisorAddr string
	Bounds      Bounds
	// Features are the optional features of scheduling that are enabled.
	Features feature.Set
}

// JobMemory returns how many bytes the jobs of the deployment may take on the node while it plans, 0 for any number. The rest is
// for sessions with workers, connections, the reading of the journal, and garbage.
func (st *Site) JobMemory() int64 {
	const bytesPerMB, share = 1_000_000, 0.5
	return int64(share * bytesPerMB * float64(st.MemoryMB))
}

// Bounds are the time limits that the deployment guarantees or requires.
type Bounds struct {
	// Grace is the time between the order to stop and the kill.
	Grace time.Duration
	// MaxLease is the maximum duration of a lease that a worker grants.
	MaxLease time.Duration
	// MinLease is the minimum duration of a lease in the store.
	MinLease time.Duration
	// JobRetention is how long the state of a finished job can be queried.
	JobRetention time.Duration
	// StopTimeout is the longest time that a worker takes to stop a run.
	StopTimeout time.Duration
	// Contact is how long a node must have been in undisturbed contact before guarantees with a time limit
	// apply to it; 0 if the settings do not specify it.
	Contact time.Duration
	// Heartbeat is the interval in which workers write their entries in the store; 0 if the settings do not specify it.
	Heartbeat time.Duration
	// EvacuationTime is the time after its confirmation from which no task starts in an evacuated data hall; 0 if
	// the settings do not specify it.
	EvacuationTime time.Duration
	// ConfigApplyTime is the time after its confirmation within which a change of the configuration must be
	// active; 0 if the settings do not specify it.
	ConfigApplyTime time.Duration
	// RollbackTime is for how long after a worker has seen the effect of a version a node may still act by an older one;
	// 0 if the settings do not specify it.
	RollbackTime time.Duration
}
