package home

import "tackbeam.example/policy/size"

// workspace holds the limits and the usage of one workspace.
type workspace struct {
	limits  Limits
	used    size.Size
	running int64
}

func (mc *Machine) workspace(name string) *workspace {
	ws, ok := mc.workspaces[name]
	if !ok {
		ws = &workspace{limits: Limits{Workspace: name, Weight: 1}}
		mc.workspaces[name] = ws
	}
	return ws
}

func (ws *workspace) charge(sz size.Size, tasks int) {
	ws.used = ws.used.Add(sz.Times(int64(tasks)))
	ws.running += int64(tasks)
}

// share returns the weighted dominant share of a workspace.
func (mc *Machine) share(name string) float64 {
	const minimumWeight = 0.001
	ws := mc.workspace(name)
	return ws.used.DominantShare(mc.capacity.Total) / max(ws.limits.Weight, minimumWeight)
}

// limit returns the column of the workspace's limit that a job would exceed, or "".
func (mc *Machine) limit(jb *job) string {
	const milliPerCore = 1000
	ws := mc.workspace(jb.Workspace)
	want := ws.used.Add(jb.Size.Times(int64(jb.Tasks)))
	lim := ws.limits
	switch {
	case lim.Processors != nil && float64(want.Processors()) > *lim.Processors*milliPerCore:
		return "processors"
	case lim.Memory != nil && want.Memory() > *lim.Memory:
		return "memory"
	case lim.Accelerators != nil && want.Accelerators() > *lim.Accelerators:
		return "accelerators"
	case lim.Running != nil && ws.running+int64(jb.Tasks) > *lim.Running:
		return "running"
	}
	return ""
}
