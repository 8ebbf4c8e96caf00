package apikey_test

import (
	"fmt"
	"testing"

	"tackbeam.example/tackbeam/internal/apikey"
)

// ExampleSum shows that equal keys have equal digests.
func ExampleSum() {
	digest := apikey.Sum([]byte("gkcuyj8pjbvk9m68k7b2"))
	fmt.Println(digest == apikey.Sum([]byte("gkcuyj8pjbvk9m68k7b2")), digest == apikey.Sum([]byte("gkcuyj8pjbvk9m68k7b3")))
	// Output: true false
}

// TestSumDoesNotAllocate checks that Sum does not allocate, because it is called for each request.
func TestSumDoesNotAllocate(t *testing.T) {
	key := []byte("gkcuyj8pjbvk9m68k7b2")
	var got apikey.Digest
	if allocs := testing.AllocsPerRun(100, func() { got = apikey.Sum(key) }); allocs != 0 {
		t.Errorf("%v allocations for digest %x, want none", allocs, got)
	}
}
