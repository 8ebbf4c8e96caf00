// Package clustermap defines the state that the nodes share through the store: the members, the owner of each
// rack's workers, and the home node of each partition of workspaces. It is changed by compare-and-swap, only when
// the membership or the set of racks changes.
package clustermap

import (
	"maps"
	"slices"

	"tackbeam.example/tackbeam/internal/ids"
)

// Key is the store key of the map.
const Key = "cluster/map"

// Node is a member of the cluster.
type Node struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Peer        string `cbor:"3,keyasint"`
	HTTP        string `cbor:"4,keyasint"`
	Region      string `cbor:"5,keyasint"`
	Hall        string `cbor:"6,keyasint"`
	Leaving     bool   `cbor:"7,keyasint,omitempty"`
}

// JournalName returns the name of the journal that the node writes.
func (nd Node) JournalName() string { return nd.Name + "-" + nd.Incarnation }

// Rack is a rack of workers and its owner. Epoch is the epoch of the map in which the owner was assigned.
type Rack struct {
	Hall  string `cbor:"1,keyasint"`
	Owner string `cbor:"2,keyasint"`
	Epoch uint64 `cbor:"3,keyasint"`
}

// Home is a partition and the node that decides for its jobs. Former lists the journals that may hold records of
// the partition that the present home has not confirmed to have taken over yet.
type Home struct {
	Node   string   `cbor:"1,keyasint"`
	Epoch  uint64   `cbor:"2,keyasint"`
	Former []string `cbor:"3,keyasint,omitempty"`
}

// Map is the state of the cluster that all nodes share.
type Map struct {
	Epoch   uint64          `cbor:"1,keyasint"`
	Nodes   map[string]Node `cbor:"2,keyasint"`
	Racks   map[string]Rack `cbor:"3,keyasint"`
	Homes   []Home          `cbor:"4,keyasint"`
	WriteID string          `cbor:"5,keyasint"`
	// Age counts time steps measured by members, one after the other, each with its own monotonic clock. It tells
	// how long records have been kept even if the wall clocks of their writer and their reader differ.
	Age uint64 `cbor:"6,keyasint,omitempty"`
}

// New returns the map of an empty cluster.
func New() *Map {
	return &Map{
		Nodes: map[string]Node{},
		Racks: map[string]Rack{},
		Homes: make([]Home, ids.Partitions),
	}
}

// RackKey returns a rack name that is unique over all halls.
func RackKey(hall, rack string) string { return hall + "/" + rack }

// Clone returns a deep copy.
func (mp *Map) Clone() *Map {
	cp := &Map{Epoch: mp.Epoch, WriteID: mp.WriteID, Age: mp.Age}
	cp.Nodes = maps.Clone(mp.Nodes)
	cp.Racks = maps.Clone(mp.Racks)
	if cp.Nodes == nil {
		cp.Nodes = map[string]Node{}
	}
	if cp.Racks == nil {
		cp.Racks = map[string]Rack{}
	}
	cp.Homes = make([]Home, ids.Partitions)
	copy(cp.Homes, mp.Homes)
	for i := range cp.Homes {
		cp.Homes[i].Former = slices.Clone(cp.Homes[i].Former)
	}
	return cp
}

// Active returns the sorted names of the nodes that are not leaving.
func (mp *Map) Active() []string {
	var names []string
	for name, nd := range mp.Nodes {
		if !nd.Leaving {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Owners returns the names of the nodes that own a rack.
func (mp *Map) Owners() map[string]bool {
	owners := map[string]bool{}
	for _, rk := range mp.Racks {
		owners[rk.Owner] = true
	}
	return owners
}

// Has reports whether this incarnation of the node is a member.
func (mp *Map) Has(nd Node) bool {
	got, ok := mp.Nodes[nd.Name]
	return ok && got.Incarnation == nd.Incarnation
}

// Join returns the map with the node added. A former incarnation with the same name is removed.
func (mp *Map) Join(nd Node) *Map {
	cp := mp.next()
	if old, ok := cp.Nodes[nd.Name]; ok && old.Incarnation != nd.Incarnation {
		cp.remove(old.Name)
	}
	cp.Nodes[nd.Name] = nd
	cp.balance()
	return cp
}

// Leave returns the map with the node marked as leaving and its racks and partitions assigned to others.
func (mp *Map) Leave(name string) *Map {
	cp := mp.next()
	if nd, ok := cp.Nodes[name]; ok {
		nd.Leaving = true
		cp.Nodes[name] = nd
	}
	cp.balance()
	return cp
}

// Remove returns the map without the node.
func (mp *Map) Remove(name string) *Map {
	cp := mp.next()
	cp.remove(name)
	cp.balance()
	return cp
}

// AddRacks returns the map with the missing racks added, and whether there were any.
func (mp *Map) AddRacks(racks map[string]string) (*Map, bool) {
	cp := mp.next()
	added := false
	for key, hall := range racks {
		if _, ok := cp.Racks[key]; !ok {
			cp.Racks[key] = Rack{Hall: hall}
			added = true
		}
	}
	if added {
		cp.balance()
	}
	return cp, added
}

// ConfirmTakeover returns the map without the former journals of the partitions that the node got in the given
// epochs, and whether anything changed.
func (mp *Map) ConfirmTakeover(name string, parts map[int]uint64) (*Map, bool) {
	cp := mp.next()
	changed := false
	for part, epoch := range parts {
		hm := &cp.Homes[part]
		if hm.Node == name && hm.Epoch == epoch && len(hm.Former) > 0 {
			hm.Former = nil
			changed = true
		}
	}
	return cp, changed
}

// AdvanceAge returns the map with its age increased by one, unless the age is no longer the given one.
func (mp *Map) AdvanceAge(age uint64) (*Map, bool) {
	if mp.Age != age {
		return mp, false
	}
	cp := mp.next()
	cp.Age++
	return cp, true
}

// JournalNames returns the names of the journals that members write, and of those whose records are not all confirmed
// to have been taken over.
func (mp *Map) JournalNames() map[string]bool {
	logs := map[string]bool{}
	for _, nd := range mp.Nodes {
		logs[nd.JournalName()] = true
	}
	for _, hm := range mp.Homes {
		for _, log := range hm.Former {
			logs[log] = true
		}
	}
	return logs
}

func (mp *Map) next() *Map {
	cp := mp.Clone()
	cp.Epoch++
	cp.WriteID = ids.Random(8)
	return cp
}

// remove removes a node; its racks and partitions have no node until balance runs.
func (mp *Map) remove(name string) {
	nd, ok := mp.Nodes[name]
	if !ok {
		return
	}
	for i := range mp.Homes {
		mp.releaseHome(i, nd)
	}
	for key, rk := range mp.Racks {
		if rk.Owner == name {
			rk.Owner = ""
			mp.Racks[key] = rk
		}
	}
	delete(mp.Nodes, name)
}

// releaseHome takes a partition from a node and records which journal holds its records.
func (mp *Map) releaseHome(part int, nd Node) {
	hm := &mp.Homes[part]
	if hm.Node != nd.Name {
		return
	}
	hm.Node = ""
	if !slices.Contains(hm.Former, nd.JournalName()) {
		hm.Former = append(hm.Former, nd.JournalName())
	}
}
