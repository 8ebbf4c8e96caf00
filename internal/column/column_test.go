package column_test

import (
	"fmt"
	"testing"

	"tackbeam.example/tackbeam/internal/column"
	"tackbeam.example/tackbeam/internal/fault"
)

func ExampleColumn_Parse() {
	cl, _ := column.Find(column.Workspace, column.Weight)
	value, _ := cl.Parse(column.Workspace, "brno", " 2.50 ")
	_, err := cl.Parse(column.Workspace, "brno", "-1")
	fmt.Println(value)
	fmt.Println(err)
	// Output:
	// 2.5
	// bad_cell: workspace/brno weight: "-1" is not allowed; give a number from 0.001 to 1000
}

// FuzzParse checks that parsing never fails in another way than with BadCell, and
// that the canonical form of a valid value parses to itself.
func FuzzParse(f *testing.F) {
	for _, text := range []string{"", "1", "-0", "1e400", "NaN", "0x1p-2", "yes", "9223372036854775808", "\x00"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		for _, kd := range column.Kinds() {
			for _, cl := range column.Of(kd) {
				value, err := cl.Parse(kd, "row", text)
				if err != nil {
					if !fault.Is(err, fault.BadCell) {
						t.Errorf("%s %q: rejected with %v", cl.Name(), text, err)
					}
					continue
				}
				again, err := cl.Parse(kd, "row", value)
				if err != nil || again != value {
					t.Errorf("%s %q: canonical form %q parses to %q, %v", cl.Name(), text, value, again, err)
				}
			}
		}
	})
}
