package trace

import (
	"time"

	"github.com/samber/lo"

	"tackbeam.example/policy/size"
)

// recipes are the shipped traces.
var recipes = map[string]recipe{
	"brno-day": {
		about: "an ordinary day: lookups, pushes and refreshes, a rebuild every minute", span: 10 * time.Minute,
		outcomes: Outcomes{Refused: lo.ToPtr(0), MaxMissed: lo.ToPtr(0), MaxFailed: lo.ToPtr(0), MaxShed: lo.ToPtr(0.0)},
		fill: func(mk *maker) {
			mk.brno()
			mk.lookups(0, 10*time.Minute, 200, "counter")
			mk.stream(0, 9*time.Minute, 1.5, named(8), push)
			mk.stream(0, 9*time.Minute, 4, named(8), refresh)
			for at := time.Minute; at < 9*time.Minute; at += time.Minute {
				mk.job(at, "rebuilds", rebuild.with(func(sh *shape) { sh.tasks, sh.deadline = 48, 4*time.Minute }))
			}
		},
	},
	"auckland-renewal": {
		about: "the night before renewals: more rerates and recalculations than fit, weights 1, 2 and 4", span: 40 * time.Minute,
		outcomes: Outcomes{Refused: lo.ToPtr(0), MaxMissed: lo.ToPtr(0), MinPacking: lo.ToPtr(0.85)},
		fill: func(mk *maker) {
			mk.auckland()
			all := named(20)
			for i, name := range all {
				mk.add(0, Event{Limits: &Limits{Workspace: name, Weight: []float64{1, 2, 4}[i%3]}})
			}
			mk.lookups(0, 10*time.Minute, 50, "quotes")
			mk.stream(0, 8*time.Minute, 4, all, refresh)
			mk.stream(0, 8*time.Minute, 0.4, all, rebuild.with(func(sh *shape) {
				sh.tasks, sh.size, sh.deadline = 8, size.New(18000, 32<<10, 0), 35*time.Minute
			}))
		},
	},
	"peak-over-rebuild": {
		about: "lookups at their peak while rebuilds need most of the workers", span: 6 * time.Minute,
		outcomes: Outcomes{Refused: lo.ToPtr(0), MaxMissed: lo.ToPtr(0), MaxShed: lo.ToPtr(0.01)},
		fill: func(mk *maker) {
			mk.brno()
			mk.lookups(0, 2*time.Minute, 500, "counter")
			mk.lookups(2*time.Minute, 4*time.Minute, 3300, "counter")
			mk.lookups(4*time.Minute, 5*time.Minute, 500, "counter")
			mk.stream(0, 5*time.Minute, 3, named(8), push)
			mk.stream(0, 5*time.Minute, 3, named(8), refresh)
			for at := 30 * time.Second; at < 4*time.Minute; at += 45 * time.Second {
				mk.job(at, "rebuilds", rebuild.with(func(sh *shape) { sh.tasks, sh.deadline = 60, 5*time.Minute }))
			}
		},
	},
	"sizes-off": {
		about: "jobs declare four times what they use", span: 20 * time.Minute,
		outcomes: Outcomes{Refused: lo.ToPtr(0), MaxMissed: lo.ToPtr(0)},
		fill: func(mk *maker) {
			mk.brno()
			mk.stream(0, 6*time.Minute, 4, named(8), refresh.with(func(sh *shape) { sh.size, sh.declared = size.New(5000, 4<<10, 0), 4 }))
			for at := time.Minute; at < 6*time.Minute; at += time.Minute {
				mk.job(at, "rebuilds", rebuild.with(func(sh *shape) {
					sh.size, sh.declared, sh.tasks, sh.deadline = size.New(12000, 8<<10, 0), 4, 30, 10*time.Minute
				}))
			}
		},
	},
	"runs-off": {
		about: "run times of one workload differ by a factor of ten and more, with gangs among them", span: 40 * time.Minute,
		outcomes: Outcomes{Refused: lo.ToPtr(0), MaxMissed: lo.ToPtr(0)},
		fill: func(mk *maker) {
			mk.brno()
			mk.stream(0, 8*time.Minute, 3, named(8), refresh.with(func(sh *shape) { sh.spread = 1.4 }))
			for at := time.Minute; at < 8*time.Minute; at += time.Minute {
				mk.job(at, "rebuilds", rebuild.with(func(sh *shape) { sh.tasks, sh.spread, sh.deadline = 40, 0.6, 20*time.Minute }))
			}
		},
	},
	"cancel-wave": {
		about: "two thousand waiting jobs are cancelled at once", span: 10 * time.Minute,
		outcomes: Outcomes{Refused: lo.ToPtr(0), MaxFailed: lo.ToPtr(0)},
		fill: func(mk *maker) {
			mk.brno()
			var ids []string
			for i := range 2500 {
				ids = append(ids, mk.job(time.Duration(i)*4*time.Millisecond, named(8)[i%8], refresh))
			}
			for _, id := range ids[500:] {
				mk.add(15*time.Second, Event{Cancel: &Cancel{Job: id}})
			}
			mk.stream(16*time.Second, 2*time.Minute, 2, named(8), push)
		},
	},
	"failing-workers": {
		about: "five workers fail all that they start, for three minutes", span: 10 * time.Minute,
		outcomes: Outcomes{Refused: lo.ToPtr(0), MaxFailed: lo.ToPtr(60)},
		fill: func(mk *maker) {
			mk.brno()
			mk.lookups(0, 6*time.Minute, 200, "counter")
			mk.stream(0, 6*time.Minute, 4, named(8), push)
			mk.add(time.Minute, Event{Failing: &Failing{Hall: "brno-1", Count: 5}})
			mk.add(4*time.Minute, Event{Failing: &Failing{Hall: "brno-1", Count: 5, Healthy: true}})
		},
	},
	"hall-lost": {
		about: "a hall of three is lost for two minutes under load", span: 15 * time.Minute,
		outcomes: Outcomes{Refused: lo.ToPtr(0), MaxShed: lo.ToPtr(0.01)},
		fill: func(mk *maker) {
			mk.brno()
			mk.lookups(0, 8*time.Minute, 200, "counter")
			mk.stream(0, 8*time.Minute, 4, named(8), refresh)
			for at := time.Minute; at < 8*time.Minute; at += time.Minute {
				mk.job(at, "rebuilds", rebuild)
			}
			mk.add(150*time.Second, Event{HallLost: &HallLost{Hall: "olomouc"}})
			mk.add(270*time.Second, Event{Workers: &Workers{
				Hall: "olomouc", Count: 16, Rack: 8, Size: size.New(siteCores, brnoMemory, 0), Slots: siteSlots,
			}})
		},
	},
	"impossible-jobs": {
		about: "forty jobs that no worker, and no limit, lets run, among ordinary ones", span: 5 * time.Minute,
		outcomes: Outcomes{Refused: lo.ToPtr(40), MaxMissed: lo.ToPtr(0), MaxFailed: lo.ToPtr(0)},
		fill: func(mk *maker) {
			mk.brno()
			mk.add(0, Event{Limits: &Limits{Workspace: "small", Weight: 1, Running: lo.ToPtr(int64(4))}})
			mk.stream(0, 3*time.Minute, 2, named(8), push)
			for i := range 20 {
				at := time.Duration(i+1) * 5 * time.Second
				mk.job(at, "large", push.with(func(sh *shape) { sh.size = size.New(65000, 1, 0) }))
				mk.job(at, "small", rebuild.with(func(sh *shape) { sh.tasks = 5 }))
			}
		},
	},
	"weights-edited": {
		about: "two workspaces with long queues; after two minutes the weight of one is raised to three", span: 20 * time.Minute,
		outcomes: Outcomes{Refused: lo.ToPtr(0), MinFairness: lo.ToPtr(0.8), MaxUrgentWait: lo.ToPtr(2500 * time.Millisecond)},
		fill: func(mk *maker) {
			mk.brno()
			for i := range 2400 {
				mk.job(time.Duration(i)*time.Millisecond, []string{"a", "b"}[i%2], refresh.with(func(sh *shape) { sh.spread = 0.1 }))
			}
			mk.add(2*time.Minute, Event{Limits: &Limits{Workspace: "a", Weight: 3}})
			mk.stream(30*time.Second, 3*time.Minute, 0.2, []string{"desk"}, urgent)
		},
	},
}
