//go:build review

// Command rig3 plays one case of the third review: it starts nodes of tackbeam as separate processes on loopback
// addresses, with stand-ins of the platform's store, of workers and of clients, brings one disruption about, and judges
// one rule by what clients and workers have seen.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main
