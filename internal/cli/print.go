package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"tackbeam.example/policy/size"
)

// columnGap is the number of spaces between two columns of a printed table.
const columnGap = 2

// grid prints rows of cells in aligned columns.
type grid struct{ tw *tabwriter.Writer }

func newGrid(out io.Writer, head ...string) *grid {
	gr := &grid{tw: tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)}
	gr.line(head...)
	return gr
}

func (gr *grid) line(cells ...string) {
	_, _ = fmt.Fprintln(gr.tw, strings.Join(cells, "\t")) // a write error appears at flush
}

func (gr *grid) flush() { _ = gr.tw.Flush() }

// sizeText formats a size as cores/MiB/accelerators.
func sizeText(sz size.Size) string {
	const milliPerCore = 1000
	return fmt.Sprintf("%g/%d/%d", float64(sz.Processors())/milliPerCore, sz.Memory(), sz.Accelerators())
}

// orDash returns "-" for an empty cell and the text otherwise.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
