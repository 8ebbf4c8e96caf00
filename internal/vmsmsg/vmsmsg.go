// Package vmsmsg defines the entries of the platform's list of VMs. The list is JSON over HTTP with an
// entity tag, so that an unchanged list takes only a few bytes.
package vmsmsg

// Path is the HTTP path of the list.
const Path = "/v1/vms"

// VM is the entry of one worker's VM.
type VM struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Hall    string `json:"hall"`
	Rack    string `json:"rack"`
	Leaving bool   `json:"leaving,omitempty"`
}
