// Package site describes where a node runs and what the deployment promises: what a
// node knows from its settings before it has talked to anybody.
package site

import "time"

// Site is one node's place in a deployment.
type Site struct {
	Node   string
	Hall   string
	Region string
	// IP is the node's address.
	IP string
	// Processors is what the node may use of the processors, in cores; 0 where the
	// settings do not tell.
	Processors float64
	// LinkMbps is the bandwidth of the node's link in Mbit/s; 0 where the settings do not tell.
	LinkMbps float64
	// MaxSockets is how many sockets the process may have open; 0 where the settings do not tell.
	MaxSockets int
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
}

// Bounds are the times that the deployment promises or allows.
type Bounds struct {
	// Grace is the time between the order to end and the kill.
	Grace time.Duration
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// MinLease is the shortest lease of the store.
	MinLease time.Duration
	// JobRetention is how long the state of an ended job can be asked for.
	JobRetention time.Duration
	// StopTimeout is how long a worker takes to end a run.
	StopTimeout time.Duration
	// Contact is how long a node must have been undisturbed for promises with a time to bind it; 0
	// where the settings do not tell.
	Contact time.Duration
	// ConfigApplyTime is within how long of its confirmation a change of the configuration is to be in
	// force; 0 where the settings do not tell.
	ConfigApplyTime time.Duration
}
