package home_test

import (
	"fmt"
	"testing"
	"time"

	"tackbeam.example/policy/home"
	"tackbeam.example/policy/size"
)

// BenchmarkBacklog places and ends one job after another while others wait for resources or for a time.
func BenchmarkBacklog(b *testing.B) {
	cases := map[string]struct {
		waiting    int
		retryAfter time.Duration
	}{
		"100 wait for resources":   {100, 0},
		"10000 wait for resources": {10000, 0},
		"100 wait for a time":      {100, time.Hour},
		"10000 wait for a time":    {10000, time.Hour},
	}
	for name, tc := range cases {
		waiting := tc.waiting
		b.Run(name, func(b *testing.B) {
			mc := home.New(64, home.DefaultRules())
			mc.Step(home.Event{Capacity: &home.Capacity{Total: size.New(1e9, 1e9, 0), Largest: size.New(64000, 1e6, 0)}})
			for n := range waiting {
				submit(mc, n, 64000, tc.retryAfter)
			}
			n := waiting
			for b.Loop() {
				n++
				submit(mc, n, 1000, 0)
				id := fmt.Sprint("j", n)
				mc.Step(home.Event{At: time.Second, Placed: &home.Placed{Job: id}})
				mc.Step(home.Event{At: time.Second, TaskEnded: &home.TaskEnded{Job: id}})
				mc.Step(home.Event{At: time.Second, Remove: &home.Remove{Job: id}})
			}
		})
	}
}

// submit submits a job. A job of 64 cores, and any that tries after it, finds no resources.
func submit(mc *home.Machine, n int, cores int64, retryAfter time.Duration) {
	acts := mc.Step(home.Event{At: time.Second, Submit: &home.Submit{
		Job: fmt.Sprint("j", n), Workspace: fmt.Sprint("ws", n%380), Tasks: 1, Size: size.New(cores, 64, 0), Priority: 5,
	}})
	for len(acts) > 0 && cores == 64000 {
		var next []home.Action
		for _, act := range acts {
			next = append(next, mc.Step(home.Event{At: time.Second, NotPlaced: &home.NotPlaced{
				Job: act.Try.Job, RetryAt: retryAfter,
			}})...)
		}
		acts = next
	}
}
