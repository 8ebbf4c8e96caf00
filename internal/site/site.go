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
	// Link is the bandwidth of the node's link in Mbit/s; 0 where the settings do not tell.
	Link float64
	// MaxSockets is how many sockets the process may have open; 0 where the settings do not tell.
	MaxSockets int
	// Callers, Ready and Peers are addresses to listen on: for jobs, for the
	// balancer's question whether the node takes callers, for other nodes.
	Callers string
	Ready   string
	Peers   string
	// Store is the address of the platform's key-value service, Writes the writing calls
	// a second that all nodes together may make.
	Store  string
	Writes float64
	// Reads is the same for reading calls; 0 where the settings do not tell.
	Reads float64
	// Advisor is the address of the service that allows workers for steps; empty
	// where there is none.
	Advisor string
	Bounds  Bounds
}

// Bounds are the times that the deployment promises or allows.
type Bounds struct {
	// Grace is the time between the order to end and the kill.
	Grace time.Duration
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// MinLease is the shortest lease of the store.
	MinLease time.Duration
	// KeepEnded is how long the state of an ended job can be asked for.
	KeepEnded time.Duration
	// StopTime is how long a worker takes to end a run.
	StopTime time.Duration
	// Contact is how long a node must have been undisturbed for promises with a time to bind it; 0
	// where the settings do not tell.
	Contact time.Duration
	// Apply is within how long of its confirmation a change of the configuration is to be in
	// force; 0 where the settings do not tell.
	Apply time.Duration
}
