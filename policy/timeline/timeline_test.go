package timeline_test

import (
	"fmt"
	"time"

	"tackbeam.example/policy/timeline"
)

// ExampleTimeline removes items in the order of their due times.
func ExampleTimeline() {
	var tl timeline.Timeline[string]
	tl.Add(2*time.Second, "third")
	tl.Add(time.Second, "first")
	tl.Add(time.Second, "second")
	tl.Add(time.Second, "cancelled")
	tl.Add(time.Hour, "later")
	tl.Retain(func(name string) bool { return name != "cancelled" })
	for {
		name, ok := tl.PopDue(time.Minute)
		if !ok {
			break
		}
		fmt.Println(name)
	}
	at, _ := tl.NextDue()
	fmt.Println(tl.Len(), "left, due at", at)
	// Output:
	// first
	// second
	// third
	// 1 left, due at 1h0m0s
}
