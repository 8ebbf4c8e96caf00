package wake_test

import (
	"testing"

	"tackbeam.example/tackbeam/internal/wake"
)

// TestGive gives a signal more often than anybody looks: no call waits, and one is kept.
func TestGive(t *testing.T) {
	sg := wake.New()
	for range 3 {
		sg.Notify()
	}
	<-sg
	select {
	case <-sg:
		t.Error("signals given together count as more than one")
	default:
	}
	sg.Notify()
	<-sg
}
