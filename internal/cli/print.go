package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"tackbeam.example/policy/size"
)

// columnGap is the space between two columns of a printed table.
const columnGap = 2

// grid prints lines of cells in columns.
type grid struct{ tw *tabwriter.Writer }

func newGrid(out io.Writer, head ...string) *grid {
	gr := &grid{tw: tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)}
	gr.line(head...)
	return gr
}

func (gr *grid) line(cells ...string) {
	_, _ = fmt.Fprintln(gr.tw, strings.Join(cells, "\t")) // the writer's own error shows at flush
}

func (gr *grid) flush() { _ = gr.tw.Flush() }

// sizeText is a size in one short cell: cores, MiB, accelerators.
func sizeText(sz size.Size) string {
	const milliPerCore = 1000
	return fmt.Sprintf("%g/%d/%d", float64(sz.Processors())/milliPerCore, sz.Memory(), sz.Accelerators())
}

// dash stands for an empty cell.
func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
