package front

import (
	"context"
	"sort"
	"strconv"

	"github.com/gofiber/fiber/v2"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/column"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/peer"
	"tackbeam.example/tackbeam/internal/table"
)

// maxOperatorBody is the maximum size of the body of an edit or a drain in bytes.
const maxOperatorBody = 4096

// getTable returns all rows. With ?after=VERSION it returns only the rows of a higher
// version, waiting for one if ?wait=SECONDS is given.
func (fr *Front) getTable(c *fiber.Ctx) error {
	wait, err := waitParam(c)
	if err != nil {
		return err
	}
	rows := fr.Table.Rows()
	if text := c.Query("after"); text != "" {
		after, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return fault.New(fault.BadRequest, "after=%s: not a version of the table", text)
		}
		ctx, cancel := context.WithTimeout(fr.ctx, wait)
		defer cancel()
		rows = fr.Table.Changes(ctx, after)
	}
	if rows == nil {
		rows = []table.Row{}
	}
	return c.JSON(api.Table{
		Version: fr.Table.Snapshot().MaxVersion(), Rows: rows, Stale: fr.Member.Stale(),
	})
}

func (fr *Front) getColumns(c *fiber.Ctx) error {
	var list []api.Column
	for _, kd := range column.Kinds() {
		for _, cl := range column.Of(kd) {
			list = append(list, api.Column{
				Kind: string(kd), Name: cl.Name(), Default: cl.Default(), Unit: cl.Unit(),
				Allowed: cl.Allowed(), Meaning: cl.Meaning(),
			})
		}
	}
	return c.JSON(list)
}

func (fr *Front) getRow(c *fiber.Ctx) error {
	kd, name := column.Kind(c.Params("kind")), c.Params("row")
	if _, err := table.Key(kd, name); err != nil {
		return err
	}
	for _, row := range fr.Table.Rows() {
		if row.Kind == kd && row.Name == name {
			return c.JSON(row)
		}
	}
	return fault.New(fault.UnknownRow, "%s/%s is not in the table", kd, name)
}

func (fr *Front) setCell(c *fiber.Ctx) error {
	budget, err := fr.requestTimeout(c)
	if err != nil {
		return err
	}
	var req api.CellRequest
	if err := readBody(c, maxOperatorBody, &req); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(fr.ctx, budget)
	defer cancel()
	result, err := fr.Table.Set(ctx, table.Change{
		Kind: column.Kind(c.Params("kind")), Row: c.Params("row"), Column: c.Params("column"),
		Value: req.Value, Expect: req.Expect, By: operatorName(c),
	})
	return fr.sendEditResult(c, result, err, req.Wait)
}

// sendEditResult writes the response to an edit. An edit that is stored but not
// confirmed by all nodes gets the status of NotConfirmed only if the operator asked
// to wait for confirmation.
func (fr *Front) sendEditResult(c *fiber.Ctx, result table.EditResult, err error, wait bool) error {
	if err != nil {
		return err
	}
	result.Confirmed = append(result.Confirmed, fr.Member.Node().Name)
	sort.Strings(result.Confirmed)
	if wait && len(result.Unconfirmed) > 0 {
		c.Status(fault.NotConfirmed.Info().Status())
	}
	if result.Unconfirmed == nil {
		result.Unconfirmed = []string{}
	}
	return c.JSON(result)
}

func operatorName(c *fiber.Ctx) string {
	if name := c.Get(api.HeaderOperator); name != "" {
		return string([]byte(name[:min(len(name), maxKeyLength)]))
	}
	return c.IP()
}

func (fr *Front) removeRow(c *fiber.Ctx) error {
	budget, err := fr.requestTimeout(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(fr.ctx, budget)
	defer cancel()
	result, err := fr.Table.Remove(ctx, column.Kind(c.Params("kind")), c.Params("row"))
	return fr.sendEditResult(c, result, err, false)
}

func (fr *Front) listJobs(c *fiber.Ctx) error {
	const defaultLimit, maxLimit = 100, 1000
	limit := c.QueryInt("limit", defaultLimit)
	if limit < 1 || limit > maxLimit {
		return fault.New(fault.BadRequest, "limit: give a whole number from 1 to %d", maxLimit)
	}
	fl := nodemsg.JobFilter{Workspace: c.Query("workspace"), Limit: limit}
	all, unreached := callAll[nodemsg.JobFilter, nodemsg.Jobs](fr, nodemsg.KindJobList, fl)
	list := fr.Local.Jobs(fl).Jobs
	for _, res := range all {
		list = append(list, res.Jobs...)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Submitted.After(list[j].Submitted) })
	return c.JSON(api.Jobs{Jobs: list[:min(len(list), limit)], Unreached: unreached})
}

func (fr *Front) getWorkers(c *fiber.Ctx) error {
	all, unreached := callAll[nodemsg.Empty, nodemsg.Workers](fr, nodemsg.KindWorkers, nodemsg.Empty{})
	list := fr.Local.Workers().Workers
	for _, res := range all {
		list = append(list, res.Workers...)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return c.JSON(api.Workers{Workers: list, Unreached: unreached})
}

func (fr *Front) getNodes(c *fiber.Ctx) error {
	all, unreached := callAll[nodemsg.Empty, nodemsg.NodeInfo](fr, nodemsg.KindNodeInfo, nodemsg.Empty{})
	list := []nodemsg.NodeInfo{fr.Local.Info()}
	for _, info := range all {
		list = append(list, info)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return c.JSON(api.Nodes{Nodes: list, Unreached: unreached})
}

// drain drains a node or a worker. The request must carry the allow header.
func (fr *Front) drain(c *fiber.Ctx) error {
	if c.Get(api.HeaderAllow) != api.AllowDrain {
		return fault.New(fault.Denied, "a drain needs header %s: %s", api.HeaderAllow, api.AllowDrain)
	}
	var req api.DrainRequest
	if err := readBody(c, maxOperatorBody, &req); err != nil {
		return err
	}
	if (req.Node == "") == (req.Worker == "") {
		return fault.New(fault.BadRequest, "node, worker: name one of the two")
	}
	ctx, cancel := context.WithTimeout(fr.ctx, peerTimeout)
	defer cancel()
	if req.Worker != "" {
		return fr.drainWorker(ctx, c, req.Worker)
	}
	if req.Node == fr.Member.Node().Name {
		fr.Local.DrainNode()
		return c.Status(fiber.StatusAccepted).JSON(req)
	}
	return fr.forwardDrain(ctx, c, req.Node, nodemsg.Drain{})
}

func (fr *Front) forwardDrain(ctx context.Context, c *fiber.Ctx, node string, dr nodemsg.Drain) error {
	nd, ok := fr.Member.Map().Nodes[node]
	if !ok {
		return fault.New(fault.NotFound, "node %q is not a member", node)
	}
	_, err := peer.Call[nodemsg.Drain, nodemsg.Empty](ctx, fr.Peer, nd.Peer, nodemsg.KindDrain, dr)
	if err != nil {
		return err
	}
	return c.Status(fiber.StatusAccepted).JSON(api.DrainRequest{Node: node, Worker: dr.Worker})
}

func (fr *Front) drainWorker(ctx context.Context, c *fiber.Ctx, name string) error {
	err := fr.Local.DrainWorker(ctx, name)
	if err == nil {
		return c.Status(fiber.StatusAccepted).JSON(api.DrainRequest{Worker: name})
	}
	if !fault.Is(err, fault.NotFound) {
		return err
	}
	all, _ := callAll[nodemsg.Empty, nodemsg.Workers](fr, nodemsg.KindWorkers, nodemsg.Empty{})
	for node, res := range all {
		for _, wk := range res.Workers {
			if wk.Name == name {
				return fr.forwardDrain(ctx, c, node, nodemsg.Drain{Worker: name})
			}
		}
	}
	return fault.New(fault.NotFound, "no node owns worker %q", name)
}

func (fr *Front) getStats(c *fiber.Ctx) error {
	return c.JSON(api.Stats{Node: fr.Local.Info(), Report: fr.Meter.Report()})
}

func (fr *Front) health(c *fiber.Ctx) error {
	return c.JSON(api.Health{Status: "ok"})
}

// ready reports to the load balancer whether this node accepts work.
func (fr *Front) ready(c *fiber.Ctx) error {
	reasons := fr.Local.NotReadyReasons()
	if fr.draining.Load() {
		reasons = append(reasons, "the node is stopping")
	}
	if len(reasons) > 0 {
		return c.Status(fiber.StatusServiceUnavailable).JSON(api.Health{Status: "not ready", Why: reasons})
	}
	return c.JSON(api.Health{Status: "ready"})
}
