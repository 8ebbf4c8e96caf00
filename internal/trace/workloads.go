package trace

import (
	"time"

	"github.com/samber/lo"

	"tackbeam.example/policy/size"
)

// workloads are the shipped traces by name.
var workloads = map[string]workload{
	"brno-day": {
		description: "an ordinary day: lookups, pushes and refreshes, a rebuild every minute", span: 10 * time.Minute,
		outcomes: Outcomes{Refused: lo.ToPtr(0), MaxMissed: lo.ToPtr(0), MaxFailed: lo.ToPtr(0), MaxShed: lo.ToPtr(0.0)},
		build: func(bd *builder) {
			bd.addBrno()
			bd.addLookups(0, 10*time.Minute, 200, "counter")
			bd.addJobs(0, 9*time.Minute, 1.5, workspaceNames(8), push)
			bd.addJobs(0, 9*time.Minute, 4, workspaceNames(8), refresh)
			for at := time.Minute; at < 9*time.Minute; at += time.Minute {
				bd.addJob(at, "rebuilds", rebuild.with(func(jt *jobTemplate) { jt.tasks, jt.deadline = 48, 4*time.Minute }))
			}
		},
	},
	"auckland-renewal": {
		description: "the night before renewals: more rerates and recalculations than fit, weights 1, 2 and 4", span: 40 * time.Minute,
		outcomes: Outcomes{Refused: lo.ToPtr(0), MaxMissed: lo.ToPtr(0), MinPacking: lo.ToPtr(0.85)},
		build: func(bd *builder) {
			bd.addAuckland()
			all := workspaceNames(20)
			for i, name := range all {
				bd.add(0, Event{Limits: &Limits{Workspace: name, Weight: []float64{1, 2, 4}[i%3]}})
			}
			bd.addLookups(0, 10*time.Minute, 50, "quotes")
			bd.addJobs(0, 8*time.Minute, 4, all, refresh)
			bd.addJobs(0, 8*time.Minute, 0.4, all, rebuild.with(func(jt *jobTemplate) {
				jt.tasks, jt.size, jt.deadline = 8, size.New(18000, 32<<10, 0), 35*time.Minute
			}))
		},
	},
	"peak-over-rebuild": {
		description: "lookups at their peak while rebuilds need most of the workers", span: 6 * time.Minute,
		outcomes: Outcomes{Refused: lo.ToPtr(0), MaxMissed: lo.ToPtr(0), MaxShed: lo.ToPtr(0.01)},
		build: func(bd *builder) {
			bd.addBrno()
			bd.addLookups(0, 2*time.Minute, 500, "counter")
			bd.addLookups(2*time.Minute, 4*time.Minute, 3300, "counter")
			bd.addLookups(4*time.Minute, 5*time.Minute, 500, "counter")
			bd.addJobs(0, 5*time.Minute, 3, workspaceNames(8), push)
			bd.addJobs(0, 5*time.Minute, 3, workspaceNames(8), refresh)
			for at := 30 * time.Second; at < 4*time.Minute; at += 45 * time.Second {
				bd.addJob(at, "rebuilds", rebuild.with(func(jt *jobTemplate) { jt.tasks, jt.deadline = 60, 5*time.Minute }))
			}
		},
	},
	"sizes-off": {
		description: "jobs declare four times what they use", span: 20 * time.Minute,
		outcomes: Outcomes{Refused: lo.ToPtr(0), MaxMissed: lo.ToPtr(0)},
		build: func(bd *builder) {
			bd.addBrno()
			bd.addJobs(0, 6*time.Minute, 4, workspaceNames(8), refresh.with(func(jt *jobTemplate) { jt.size, jt.declaredFactor = size.New(5000, 4<<10, 0), 4 }))
			for at := time.Minute; at < 6*time.Minute; at += time.Minute {
				bd.addJob(at, "rebuilds", rebuild.with(func(jt *jobTemplate) {
					jt.size, jt.declaredFactor, jt.tasks, jt.deadline = size.New(12000, 8<<10, 0), 4, 30, 10*time.Minute
				}))
			}
		},
	},
	"runs-off": {
		description: "run times of one workload differ by a factor of ten and more, with gangs among them", span: 40 * time.Minute,
		outcomes: Outcomes{Refused: lo.ToPtr(0), MaxMissed: lo.ToPtr(0)},
		build: func(bd *builder) {
			bd.addBrno()
			bd.addJobs(0, 8*time.Minute, 3, workspaceNames(8), refresh.with(func(jt *jobTemplate) { jt.sigma = 1.4 }))
			for at := time.Minute; at < 8*time.Minute; at += time.Minute {
				bd.addJob(at, "rebuilds", rebuild.with(func(jt *jobTemplate) { jt.tasks, jt.sigma, jt.deadline = 40, 0.6, 20*time.Minute }))
			}
		},
	},
	"cancel-wave": {
		description: "two thousand waiting jobs are cancelled at once", span: 10 * time.Minute,
		outcomes: Outcomes{Refused: lo.ToPtr(0), MaxFailed: lo.ToPtr(0)},
		build: func(bd *builder) {
			bd.addBrno()
			var ids []string
			for i := range 2500 {
				ids = append(ids, bd.addJob(time.Duration(i)*4*time.Millisecond, workspaceNames(8)[i%8], refresh))
			}
			for _, id := range ids[500:] {
				bd.add(15*time.Second, Event{Cancel: &Cancel{Job: id}})
			}
			bd.addJobs(16*time.Second, 2*time.Minute, 2, workspaceNames(8), push)
		},
	},
	"failing-workers": {
		description: "five workers fail all that they start, for three minutes", span: 10 * time.Minute,
		outcomes: Outcomes{Refused: lo.ToPtr(0), MaxFailed: lo.ToPtr(60)},
		build: func(bd *builder) {
			bd.addBrno()
			bd.addLookups(0, 6*time.Minute, 200, "counter")
			bd.addJobs(0, 6*time.Minute, 4, workspaceNames(8), push)
			bd.add(time.Minute, Event{Failing: &Failing{Hall: "brno-1", Count: 5}})
			bd.add(4*time.Minute, Event{Failing: &Failing{Hall: "brno-1", Count: 5, Healthy: true}})
		},
	},
	"hall-lost": {
		description: "a hall of three is lost for two minutes under load", span: 15 * time.Minute,
		outcomes: Outcomes{Refused: lo.ToPtr(0), MaxShed: lo.ToPtr(0.01)},
		build: func(bd *builder) {
			bd.addBrno()
			bd.addLookups(0, 8*time.Minute, 200, "counter")
			bd.addJobs(0, 8*time.Minute, 4, workspaceNames(8), refresh)
			for at := time.Minute; at < 8*time.Minute; at += time.Minute {
				bd.addJob(at, "rebuilds", rebuild)
			}
			bd.add(150*time.Second, Event{HallLost: &HallLost{Hall: "olomouc"}})
			bd.add(270*time.Second, Event{Workers: &Workers{
				Hall: "olomouc", Count: 16, Rack: 8, Size: size.New(siteCores, brnoMemory, 0), Slots: siteSlots,
			}})
		},
	},
	"impossible-jobs": {
		description: "forty jobs that no worker, and no limit, lets run, among ordinary ones", span: 5 * time.Minute,
		outcomes: Outcomes{Refused: lo.ToPtr(40), MaxMissed: lo.ToPtr(0), MaxFailed: lo.ToPtr(0)},
		build: func(bd *builder) {
			bd.addBrno()
			bd.add(0, Event{Limits: &Limits{Workspace: "small", Weight: 1, Running: lo.ToPtr(int64(4))}})
			bd.addJobs(0, 3*time.Minute, 2, workspaceNames(8), push)
			for i := range 20 {
				at := time.Duration(i+1) * 5 * time.Second
				bd.addJob(at, "large", push.with(func(jt *jobTemplate) { jt.size = size.New(65000, 1, 0) }))
				bd.addJob(at, "small", rebuild.with(func(jt *jobTemplate) { jt.tasks = 5 }))
			}
		},
	},
	"weights-edited": {
		description: "two workspaces with long queues; after two minutes the weight of one is raised to three", span: 20 * time.Minute,
		outcomes: Outcomes{Refused: lo.ToPtr(0), MinFairness: lo.ToPtr(0.8), MaxUrgentWait: lo.ToPtr(2500 * time.Millisecond)},
		build: func(bd *builder) {
			bd.addBrno()
			for i := range 2400 {
				bd.addJob(time.Duration(i)*time.Millisecond, []string{"a", "b"}[i%2], refresh.with(func(jt *jobTemplate) { jt.sigma = 0.1 }))
			}
			bd.add(2*time.Minute, Event{Limits: &Limits{Workspace: "a", Weight: 3}})
			bd.addJobs(30*time.Second, 3*time.Minute, 0.2, []string{"desk"}, urgent)
		},
	},
}
