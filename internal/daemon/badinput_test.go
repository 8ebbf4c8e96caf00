package daemon_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/fault"
)

// setCells sets cells written as "row column value".
func setCells(t testing.TB, cl *client.Client, cells ...string) {
	t.Helper()
	for _, cell := range cells {
		parts := strings.Fields(cell)
		_, err := client.Send[map[string]any](cl, client.Request{
			Method: "PUT", Path: "/v1/table/" + parts[0] + "/" + parts[1],
		}, api.CellRequest{Value: parts[2]})
		must(t, err)
	}
}

// TestBadInput checks that each invalid request of a caller or an operator gets the
// right kind of error and a message that names the problem.
func TestBadInput(t *testing.T) {
	bd := newTestbed(t, 4, "n1")
	cl := bd.api("n1")
	setCells(t, cl,
		"workspace/brno weight 1", "workspace/small processors 1", "workspace/slow rate 0",
		"workload/lookup class service", "workload/push class batch", "workload/rebuild class gang")
	submit := func(body string, headers ...string) client.Request {
		rq := client.Request{Method: "POST", Path: api.PathJobs, Body: []byte(body), Headers: map[string]string{}}
		for i := 0; i < len(headers); i += 2 {
			rq.Headers[headers[i]] = headers[i+1]
		}
		return rq
	}
	lookup := func(workspace, workload, body string) client.Request {
		return client.Request{
			Method: "POST", Path: "/v1/lookups/" + workload, Body: []byte(body),
			Headers: map[string]string{api.HeaderWorkspace: workspace},
		}
	}
	set := func(cell, body string) client.Request {
		return client.Request{Method: "PUT", Path: "/v1/table/" + cell, Body: []byte(body)}
	}
	_, err := cl.Do(submit(`{"workload":"push","workspace":"brno"}`, api.HeaderIdempotencyKey, "used"))
	must(t, err)
	bd.eventually("the node has registered all workers", func() bool {
		_, err := cl.Do(submit(`{"workload":"push","workspace":"brno","processors":65}`))
		return fault.Is(err, fault.NeverFits)
	})

	cases := map[string]struct {
		req  client.Request
		kind fault.Kind
		says string
	}{
		"malformed JSON":           {submit(`{"workload":`), fault.BadRequest, "not JSON"},
		"two values":               {submit(`{"workload":"push","workspace":"brno"} {}`), fault.BadRequest, "more than one"},
		"unknown field":            {submit(`{"workload":"push","workspace":"brno","cores":3}`), fault.BadRequest, "cores"},
		"wrong type":               {submit(`{"workload":"push","workspace":"brno","tasks":"many"}`), fault.BadRequest, "tasks"},
		"body too large":           {submit(`{"payload":"` + strings.Repeat("x", 2000) + `"}`), fault.TooLarge, "1024"},
		"huge body":                {submit(strings.Repeat("x", 100000)), fault.TooLarge, "limit"},
		"no workspace":             {submit(`{"workload":"push"}`), fault.BadRequest, "workspace"},
		"unknown workspace":        {submit(`{"workload":"push","workspace":"olomouc"}`), fault.UnknownRow, "olomouc"},
		"unknown workload":         {submit(`{"workload":"pull","workspace":"brno"}`), fault.UnknownRow, "pull"},
		"job of a service":         {submit(`{"workload":"lookup","workspace":"brno"}`), fault.BadRequest, "service"},
		"several tasks in a batch": {submit(`{"workload":"push","workspace":"brno","tasks":2}`), fault.BadRequest, "gang"},
		"negative tasks":           {submit(`{"workload":"rebuild","workspace":"brno","tasks":-1}`), fault.BadRequest, "tasks"},
		"negative processors":      {submit(`{"workload":"push","workspace":"brno","processors":-1}`), fault.BadRequest, "processors"},
		"negative memory":          {submit(`{"workload":"push","workspace":"brno","memory":-1}`), fault.BadRequest, "memory"},
		"larger than any worker":   {submit(`{"workload":"push","workspace":"brno","processors":65}`), fault.NeverFits, "processors"},
		"no worker has the device": {submit(`{"workload":"push","workspace":"brno","accelerators":1}`), fault.NeverFits, "accelerators"},
		"larger than all workers":  {submit(`{"workload":"rebuild","workspace":"brno","processors":64,"tasks":5}`), fault.NeverFits, "all workers"},
		"over the row's limit":     {submit(`{"workload":"push","workspace":"small","processors":2}`), fault.NeverFits, "workspace/small processors"},
		"past deadline":            {submit(`{"workload":"push","workspace":"brno","deadline":"2020-01-01T00:00:00Z"}`), fault.PastDeadline, "2020"},
		"negative deadline":        {submit(`{"workload":"push","workspace":"brno","deadline_in":-5}`), fault.PastDeadline, "deadline_in"},
		"two deadlines":            {submit(`{"workload":"push","workspace":"brno","deadline_in":5,"deadline":"2120-01-01T00:00:00Z"}`), fault.BadRequest, "one of the two"},
		"key with another body":    {submit(`{"workload":"push","workspace":"brno","tasks":1}`, api.HeaderIdempotencyKey, "used"), fault.KeyReused, "used"},
		"key too long":             {submit(`{"workload":"push","workspace":"brno"}`, api.HeaderIdempotencyKey, strings.Repeat("k", 200)), fault.BadRequest, api.HeaderIdempotencyKey},
		"timeout is not numeric":   {submit(`{}`, api.HeaderTimeout, "soon"), fault.BadRequest, api.HeaderTimeout},
		"timeout is negative":      {submit(`{}`, api.HeaderTimeout, "-1"), fault.BadRequest, api.HeaderTimeout},
		"timeout is NaN":           {submit(`{}`, api.HeaderTimeout, "NaN"), fault.BadRequest, api.HeaderTimeout},
		"timeout is too long":      {submit(`{}`, api.HeaderTimeout, "1e9"), fault.BadRequest, "limit"},
		"lookup without workspace": {lookup("", "lookup", "x"), fault.BadRequest, "workspace"},
		"lookup of a batch":        {lookup("brno", "push", "x"), fault.BadRequest, "class batch"},
		"lookup too large":         {lookup("brno", "lookup", strings.Repeat("x", 2000)), fault.TooLarge, "1024"},
		"lookup over the rate":     {lookup("slow", "lookup", "x"), fault.RateLimited, "workspace/slow rate"},
		"unknown job":              {client.Request{Method: "GET", Path: api.PathJobs + "/j00nosuchjob"}, fault.NotFound, "not known"},
		"malformed job id":         {client.Request{Method: "DELETE", Path: api.PathJobs + "/x"}, fault.NotFound, "job id"},
		"unknown kind of row":      {set("machine/a/weight", `{"value":"1"}`), fault.UnknownRow, "machine"},
		"unknown column":           {set("workspace/brno/colour", `{"value":"1"}`), fault.BadCell, "colour"},
		"column of another kind":   {set("workspace/brno/class", `{"value":"batch"}`), fault.BadCell, "class"},
		"cell out of range":        {set("workspace/brno/weight", `{"value":"0"}`), fault.BadCell, "workspace/brno weight"},
		"cell is not a number":     {set("workspace/brno/weight", `{"value":"NaN"}`), fault.BadCell, "0.001 to 1000"},
		"negative limit":           {set("workspace/brno/running", `{"value":"-1"}`), fault.BadCell, "whole number"},
		"cell is not in the list":  {set("workload/push/class", `{"value":"heavy"}`), fault.BadCell, "service, batch, gang"},
		"bad row name":             {set("workspace/BRNO/weight", `{"value":"1"}`), fault.BadRequest, "BRNO"},
		"conflicting edit":         {set("workspace/brno/weight", `{"value":"5","expect":"4"}`), fault.Conflict, `"4", but it is now "1"`},
		"unknown path":             {client.Request{Method: "GET", Path: "/v2/jobs"}, fault.NotFound, "/v2/jobs"},
		"drain without allow":      {client.Request{Method: "POST", Path: api.PathDrain, Body: []byte(`{"node":"n1"}`)}, fault.Denied, api.HeaderAllow},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rsp, err := cl.Do(tc.req)
			is.True(err != nil)
			er := fault.From(err)
			is.Equal(er.Kind, tc.kind)
			is.Equal(rsp.Status, tc.kind.Info().Status())
			if !strings.Contains(er.Message, tc.says) {
				t.Errorf("message %q does not name %q", er.Message, tc.says)
			}
			var body api.ErrorBody
			is.NoErr(json.Unmarshal(rsp.Body, &body))
			is.Equal(body.Error.Ran, "not-run") // no work was started
		})
	}
}
