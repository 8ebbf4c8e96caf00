// Package settings reads and validates the settings of a node. Settings are JSON; an error names the path
// of each invalid setting and the allowed values.
package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/go-viper/mapstructure/v2"
	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/fault"
)

// Settings are the settings of one node. The tags define the names and the documentation, New the defaults.
type Settings struct {
	Node   string `json:"node" doc:"name of this node; letters, digits and dashes; no two nodes share one"`
	Region string `json:"region" doc:"region that the node is in"`
	Hall   string `json:"hall" doc:"data hall that the node is in"`
	HTTP   HTTP   `json:"http" doc:"the callers' and operators' side"`
	Peer   Peer   `json:"peer" doc:"the side towards the other nodes"`
	Store  Store  `json:"store" doc:"the platform's key-value service"`
	VMs    VMs    `json:"vms" doc:"the platform's list of VMs"`
	Owner  Owner  `json:"owner" doc:"the owner's side of the workers"`
	Limits Limits `json:"limits" doc:"limits on what callers send and what may wait"`
	Member Member `json:"member" doc:"how nodes watch each other"`
	Log    Log    `json:"log" doc:"the structured log on standard error"`
	Record Record `json:"record" doc:"the recorder of decisions"`
}

// HTTP configures the server for callers and operators.
type HTTP struct {
	Listen string `json:"listen" doc:"IP address and port to listen on"`
}

// Peer configures the connections to the other nodes.
type Peer struct {
	Listen    string `json:"listen" doc:"IP address and UDP port to listen on"`
	Advertise string `json:"advertise" doc:"address that other nodes use; empty means the one listened on"`
	Cert      string `json:"cert" doc:"file with this node's certificate, PEM"`
	Key       string `json:"key" doc:"file with the certificate's key, PEM"`
	CA        string `json:"ca" doc:"file with the certificates that sign nodes, PEM"`
}

// Store configures the use of the platform's key-value service.
type Store struct {
	Addresses []string      `json:"addresses" doc:"IP addresses and ports, tried in order"`
	WriteRate float64       `json:"writes" doc:"writes a second that all nodes together may make"`
	ReadRate  float64       `json:"reads" doc:"reads a second that all nodes together may make"`
	Timeout   time.Duration `json:"timeout" doc:"how long one call may take"`
	LeaseTTL  time.Duration `json:"lease" doc:"how long a node's own record outlives its last renewal"`
}

// VMs configures how the platform's list of VMs is read.
type VMs struct {
	Address  string        `json:"address" doc:"IP address and port of the list"`
	Interval time.Duration `json:"every" doc:"time between two reads of the list"`
}

// Owner configures how a node owns workers.
type Owner struct {
	MaxLease   time.Duration `json:"lease" doc:"longest lease that a worker may have; a worker with a longer one is not used"`
	LeaseGuard time.Duration `json:"guard" doc:"time beyond a worker's lease after which its tasks surely count as ended; a node cut off from all others stops renewing after two thirds of it"`
}

// Limits are the limits on requests, queues and jobs, and the times of jobs and of a planned stop.
type Limits struct {
	MaxLookupBody     int           `json:"lookup_body" doc:"bytes in the body of a lookup"`
	MaxJobBody        int           `json:"job_body" doc:"bytes in the body of a job"`
	DefaultTimeout    time.Duration `json:"default_timeout" doc:"deadline of a request that names none"`
	MaxTimeout        time.Duration `json:"max_timeout" doc:"longest deadline a lookup may ask for"`
	MaxQueuedLookups  int           `json:"queue" doc:"lookups that may wait on one owner"`
	MaxUnfinishedJobs int           `json:"waiting_jobs" doc:"unfinished jobs that one node keeps"`
	MaxTasks          int           `json:"tasks" doc:"tasks in one job"`
	JobRetention      time.Duration `json:"keep_jobs" doc:"how long an ended job and its idempotency key are kept"`
	QueryAfter        time.Duration `json:"ask" doc:"how long a running job may be silent before its workers are asked for it; a repeatable one saves its work when asked"`
	DrainTimeout      time.Duration `json:"drain" doc:"longest time that a planned stop waits for work in flight"`
	UnreadyDelay      time.Duration `json:"unready" doc:"time that a stopping node still serves callers, for the balancer to notice"`
}

// Member configures how nodes monitor each other.
type Member struct {
	HeartbeatInterval time.Duration `json:"beat" doc:"time between two heartbeats to each node"`
	SuspectAfter      time.Duration `json:"suspect" doc:"silence after which a node counts as not heard"`
}

// Log configures the structured log.
type Log struct {
	Verbosity int `json:"verbosity" doc:"0 for what operators need, 1 for more"`
}

// Record configures the recorder of decisions.
type Record struct {
	Path string `json:"path" doc:"file that the inputs of the decisions are written to; empty records nothing"`
}

// New returns the default settings.
func New() *Settings {
	return &Settings{
		Region: "local",
		Hall:   "hall-1",
		HTTP:   HTTP{Listen: "127.0.0.1:7420"},
		Peer:   Peer{Listen: "127.0.0.1:7421"},
		Store: Store{
			WriteRate: 100, ReadRate: 2000,
			Timeout: time.Second, LeaseTTL: 6 * time.Second,
		},
		VMs:   VMs{Interval: 2 * time.Second},
		Owner: Owner{MaxLease: 30 * time.Second, LeaseGuard: 15 * time.Second},
		Limits: Limits{
			MaxLookupBody: 64 << 10, MaxJobBody: 16 << 10,
			DefaultTimeout: 10 * time.Second, MaxTimeout: time.Minute,
			MaxQueuedLookups: 512, MaxUnfinishedJobs: 20000, MaxTasks: 1000,
			JobRetention: 24 * time.Hour, QueryAfter: time.Minute, DrainTimeout: 30 * time.Second, UnreadyDelay: 2 * time.Second,
		},
		Member: Member{HeartbeatInterval: time.Second, SuspectAfter: 3 * time.Second},
	}
}

// Load reads settings from a file, applies them over the defaults and validates the result.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(raw)
}

// Parse reads settings from JSON, applies them over the defaults and validates the result.
func Parse(raw []byte) (*Settings, error) {
	var tree map[string]any
	if err := json.Unmarshal(raw, &tree); err != nil {
		return nil, fault.New(fault.BadRequest, "settings are not a JSON object: %v", err)
	}
	st := New()
	meta := mapstructure.Metadata{}
	dec, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result: st, TagName: "json", Metadata: &meta,
		DecodeHook: mapstructure.StringToTimeDurationHookFunc(),
		MatchName:  func(key, field string) bool { return key == field },
	})
	if err != nil {
		return nil, errors.Wrap(err, "create settings decoder")
	}
	if err := dec.Decode(tree); err != nil {
		return nil, fault.New(fault.BadRequest, "settings: %s", oneLine(err))
	}
	if len(meta.Unused) > 0 {
		sort.Strings(meta.Unused)
		return nil, fault.New(fault.BadRequest, "settings: %s: no such setting; see tackbeamd --settings",
			strings.Join(meta.Unused, ", "))
	}
	if violations := st.Check(); len(violations) > 0 {
		return nil, fault.New(fault.BadRequest, "settings: %s", strings.Join(violations, "; "))
	}
	return st, nil
}

func oneLine(err error) string {
	return strings.Join(strings.Fields(strings.ReplaceAll(err.Error(), "\n", " ")), " ")
}

// Field describes one setting.
type Field struct {
	path         string
	defaultValue string
	doc          string
}

// Path returns the setting's path, for example "store.timeout".
func (fd Field) Path() string { return fd.path }

// Default returns the setting's default value.
func (fd Field) Default() string { return fd.defaultValue }

// Doc returns the setting's description.
func (fd Field) Doc() string { return fd.doc }

// Fields returns all settings with their defaults and descriptions.
func Fields() []Field { return fields("", reflect.ValueOf(*New())) }

func fields(prefix string, value reflect.Value) []Field {
	var all []Field
	for i := range value.NumField() {
		field := value.Type().Field(i)
		path := prefix + field.Tag.Get("json")
		if field.Type.Kind() == reflect.Struct {
			all = append(all, fields(path+".", value.Field(i))...)
			continue
		}
		all = append(all, Field{
			path: path, defaultValue: fmt.Sprint(value.Field(i).Interface()), doc: field.Tag.Get("doc"),
		})
	}
	return all
}

// Document returns the documentation of all settings, which docs/settings.md contains.
func Document() string {
	var page strings.Builder
	page.WriteString("# Settings of tackbeamd\n\n")
	page.WriteString("Made by `tackbeamd --settings`; the source is `internal/settings`.\n")
	page.WriteString("Times are strings such as `\"250ms\"` or `\"3s\"`. An unknown setting is refused.\n\n")
	page.WriteString("| path | default | meaning |\n| --- | --- | --- |\n")
	for _, fd := range Fields() {
		fmt.Fprintf(&page, "| `%s` | `%s` | %s |\n", fd.path, fd.defaultValue, fd.doc)
	}
	return page.String()
}
