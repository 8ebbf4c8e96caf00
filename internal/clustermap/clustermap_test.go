package clustermap_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tackbeam.example/tackbeam/internal/clustermap"
	"tackbeam.example/tackbeam/internal/ids"
)

func init() {
	_ = flag.Set("rapid.seed", "20261202") // makes results reproducible
	_ = flag.Set("rapid.nofailfile", "true")
}

func node(name, hall string) clustermap.Node {
	return clustermap.Node{Name: name, Incarnation: "a", Hall: hall, Region: "cz"}
}

func racks(n int) map[string]string {
	all := map[string]string{}
	for i := range n {
		hall := fmt.Sprintf("h%d", i%3)
		all[clustermap.RackKey(hall, fmt.Sprint("r", i))] = hall
	}
	return all
}

func TestRacksStayInTheirHall(t *testing.T) {
	is := is.New(t)
	mp := clustermap.New().Join(node("a", "h0")).Join(node("b", "h1")).Join(node("c", "h2"))
	mp, added := mp.AddRacks(racks(9))
	is.True(added)
	for _, rk := range mp.Racks {
		is.Equal(mp.Nodes[rk.Owner].Hall, rk.Hall) // each hall has a node of its own
	}
	mp = mp.Remove("b")
	for _, rk := range mp.Racks {
		is.True(rk.Owner == "a" || rk.Owner == "c") // no rack stays with a removed node
	}
}

func TestRestartWithSameName(t *testing.T) {
	is := is.New(t)
	mp := clustermap.New().Join(node("a", "h0"))
	mp, _ = mp.AddRacks(racks(3))
	before := mp.Racks["h0/r0"].Epoch
	restarted := node("a", "h0")
	restarted.Incarnation = "b"
	mp = mp.Join(restarted)
	is.True(mp.Racks["h0/r0"].Epoch > before)     // the new incarnation fences the old one
	is.Equal(mp.Homes[0].Former, []string{"a-a"}) // and reads the old one's journal
	mp, changed := mp.ConfirmTakeover("a", map[int]uint64{0: mp.Homes[0].Epoch})
	is.True(changed)
	is.Equal(len(mp.Homes[0].Former), 0)
}

// TestInvariantsHoldAfterAnyChanges checks that after any sequence of changes every rack and partition has one
// active node, evenly distributed, and that epochs only rise.
func TestInvariantsHoldAfterAnyChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		mp := clustermap.New().Join(node("n0", "h0"))
		mp, _ = mp.AddRacks(racks(12))
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			name := fmt.Sprint("n", rapid.IntRange(0, 5).Draw(rt, "node"))
			before := mp
			switch rapid.SampledFrom([]string{"join", "leave", "remove"}).Draw(rt, "change") {
			case "join":
				mp = mp.Join(node(name, "h0"))
			case "leave":
				mp = mp.Leave(name)
			case "remove":
				mp = mp.Remove(name)
			}
			checkInvariants(rt, before, mp)
		}
	})
}

func checkInvariants(rt *rapid.T, before, mp *clustermap.Map) {
	active := map[string]int{}
	for _, name := range mp.Active() {
		active[name] = 0
	}
	if len(active) == 0 {
		return
	}
	for key, rk := range mp.Racks {
		if _, ok := active[rk.Owner]; !ok {
			rt.Fatalf("rack %s belongs to %q", key, rk.Owner)
		}
		if old := before.Racks[key]; old.Owner != rk.Owner && rk.Epoch <= old.Epoch {
			rt.Fatalf("rack %s moved without a higher epoch", key)
		}
	}
	for i, hm := range mp.Homes {
		if _, ok := active[hm.Node]; !ok {
			rt.Fatalf("partition %d belongs to %q", i, hm.Node)
		}
		active[hm.Node]++
		if old := before.Homes[i]; old.Node != "" && old.Node != hm.Node && len(hm.Former) == 0 {
			rt.Fatalf("partition %d moved without a former journal", i)
		}
	}
	for name, n := range active {
		if n > ids.Partitions/len(active)+1 {
			rt.Fatalf("node %s is the home of %d partitions", name, n)
		}
	}
}
