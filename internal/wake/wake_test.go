package wake_test

import (
	"testing"

	"tackbeam.example/tackbeam/internal/wake"
)

// TestNotify checks that Notify never blocks and that notifications that were not received yet count as one.
func TestNotify(t *testing.T) {
	sg := wake.New()
	for range 3 {
		sg.Notify()
	}
	<-sg
	select {
	case <-sg:
		t.Error("several pending notifications count as more than one")
	default:
	}
	sg.Notify()
	<-sg
}
