package clustermap

import (
	"maps"
	"slices"
)

// balance assigns every rack and partition to an active node and then evens out their numbers with as few moves as
// possible. Equal maps give equal results.
func (mp *Map) balance() {
	active := mp.Active()
	if len(active) == 0 {
		return
	}
	mp.balanceRacks(active)
	mp.balanceHomes(active)
}

// counts holds the number of racks or partitions of each active node.
type counts map[string]int

func newCounts(active []string) counts {
	ct := counts{}
	for _, name := range active {
		ct[name] = 0
	}
	return ct
}

// least returns the name with the smallest count, the first one of equals.
func (ct counts) least(names []string) string {
	best := ""
	for _, name := range names {
		if best == "" || ct[name] < ct[best] {
			best = name
		}
	}
	return best
}

// most returns the name with the largest count, the first one of equals.
func (ct counts) most(names []string) string {
	best := ""
	for _, name := range names {
		if best == "" || ct[name] > ct[best] {
			best = name
		}
	}
	return best
}

func (mp *Map) balanceRacks(active []string) {
	owned := newCounts(active)
	for _, rk := range mp.Racks {
		if _, ok := owned[rk.Owner]; ok {
			owned[rk.Owner]++
		}
	}
	keys := slices.Sorted(maps.Keys(mp.Racks))
	for _, key := range keys {
		rk := mp.Racks[key]
		candidates := mp.candidates(rk.Hall, active)
		if _, ok := owned[rk.Owner]; !ok || !slices.Contains(candidates, rk.Owner) {
			mp.assignRack(key, owned.least(candidates), owned)
		}
	}
	for _, key := range keys {
		rk := mp.Racks[key]
		to := owned.least(mp.candidates(rk.Hall, active))
		if owned[rk.Owner] > owned[to]+1 {
			mp.assignRack(key, to, owned)
		}
	}
}

// candidates returns the active nodes of a hall; if there are none, those of its region; if there are none either,
// all.
func (mp *Map) candidates(hall string, active []string) []string {
	region := mp.region(hall)
	var inHall, inRegion []string
	for _, name := range active {
		nd := mp.Nodes[name]
		if nd.Hall == hall {
			inHall = append(inHall, name)
		}
		if nd.Region == region {
			inRegion = append(inRegion, name)
		}
	}
	switch {
	case len(inHall) > 0:
		return inHall
	case len(inRegion) > 0:
		return inRegion
	}
	return active
}

// region returns the region of a hall, which is known if a member is in that hall.
func (mp *Map) region(hall string) string {
	for _, name := range slices.Sorted(maps.Keys(mp.Nodes)) {
		if mp.Nodes[name].Hall == hall {
			return mp.Nodes[name].Region
		}
	}
	return ""
}

func (mp *Map) assignRack(key, to string, owned counts) {
	rk := mp.Racks[key]
	if _, ok := owned[rk.Owner]; ok {
		owned[rk.Owner]--
	}
	rk.Owner = to
	rk.Epoch = mp.Epoch
	mp.Racks[key] = rk
	owned[to]++
}

func (mp *Map) balanceHomes(active []string) {
	held := newCounts(active)
	for _, hm := range mp.Homes {
		if _, ok := held[hm.Node]; ok {
			held[hm.Node]++
		}
	}
	for i := range mp.Homes {
		if _, ok := held[mp.Homes[i].Node]; !ok {
			mp.assignHome(i, held.least(active), held)
		}
	}
	for {
		from, to := held.most(active), held.least(active)
		if held[from] <= held[to]+1 {
			return
		}
		mp.assignHome(mp.firstHome(from), to, held)
	}
}

// firstHome returns the lowest partition of a node, or -1.
func (mp *Map) firstHome(name string) int {
	return slices.IndexFunc(mp.Homes, func(hm Home) bool { return hm.Node == name })
}

func (mp *Map) assignHome(part int, to string, held counts) {
	hm := &mp.Homes[part]
	if _, ok := held[hm.Node]; ok {
		held[hm.Node]--
	}
	if nd, ok := mp.Nodes[hm.Node]; ok {
		mp.releaseHome(part, nd)
	}
	hm.Node = to
	hm.Epoch = mp.Epoch
	held[to]++
}
