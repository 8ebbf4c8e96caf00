package test

import (
	"fmt"
	"sync"
	"time"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/table"
)

// editRace is two operators that concurrently set the same cell of the table at two
// nodes. Each edit has the value that it expects to replace, so the accepted edits must
// form a single chain.
type editRace struct {
	stop chan struct{}
	wg   sync.WaitGroup
	mu   sync.Mutex
	// accepted maps the value that an accepted edit replaced to the new value, or to
	// "?" if the edit may have been accepted.
	accepted map[string]string
	forks    []string
}

func (cl *cluster) startRace() {
	rc := &editRace{stop: make(chan struct{}), accepted: map[string]string{}}
	cl.race = rc
	for i, name := range []string{"n1", "n2"} {
		api := cl.api(name)
		rc.wg.Add(1)
		go func() {
			defer rc.wg.Done()
			for n := 0; ; n++ {
				select {
				case <-rc.stop:
					return
				case <-time.After(20 * time.Millisecond):
					rc.edit(api, fmt.Sprint(100*(n+1)+i))
				}
			}
		}()
	}
}

func (rc *editRace) edit(cl *client.Client, value string) {
	row, err := client.JSON[table.Row](cl, client.Request{Method: "GET", Path: "/v1/table/workspace/brno"})
	if err != nil {
		return
	}
	expect := row.Cells["running"]
	_, err = client.Send[table.EditResult](cl, client.Request{
		Method: "PUT", Path: "/v1/table/workspace/brno/running",
	}, api.CellRequest{Value: value, Expect: &expect})
	if err != nil {
		if fault.From(err).MayHaveRun {
			rc.addIndeterminate(expect, value)
		}
		return
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if other, ok := rc.accepted[expect]; ok && other != "?" {
		rc.forks = append(rc.forks, fmt.Sprintf("after %q both %q and %q were accepted", expect, other, value))
	}
	rc.accepted[expect] = value
}

// addIndeterminate records an edit that may have been accepted.
func (rc *editRace) addIndeterminate(expect, _ string) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if _, ok := rc.accepted[expect]; !ok {
		rc.accepted[expect] = "?"
	}
}

func (cl *cluster) stopRace() {
	close(cl.race.stop)
	cl.race.wg.Wait()
	for _, text := range cl.race.forks {
		cl.t.Errorf("two edits of one value were accepted: %s", text)
	}
}
