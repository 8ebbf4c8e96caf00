// Package vmsmsg holds the entries of the platform's list of VMs: JSON over
// HTTP, with an entity tag so that an unchanged list costs a few bytes.
package vmsmsg

// Path is the path of the list.
const Path = "/v1/vms"

// VM is one worker's machine in the list.
type VM struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Hall    string `json:"hall"`
	Rack    string `json:"rack"`
	Leaving bool   `json:"leaving,omitempty"`
}
