// Package measurer measures the parts of the scheduler, in virtual time where possible, and prints the figures as
// Markdown tables. Processor time, memory, transferred bytes and the times of loopback calls are measured for real.
package measurer

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Table is a Markdown table of figures with notes on how they were measured.
type Table struct {
	Title   string
	Notes   []string
	Columns []string
	Rows    [][]string
}

// add appends a row. Floats are rounded to three digits and durations to milliseconds.
func (t *Table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		switch cell := cell.(type) {
		case float64:
			row[i] = fmt.Sprintf("%.3g", cell)
		case time.Duration:
			row[i] = cell.Round(time.Millisecond).String()
		default:
			row[i] = fmt.Sprint(cell)
		}
	}
	t.Rows = append(t.Rows, row)
}

// WriteTo writes the table as Markdown.
func (t *Table) WriteTo(w io.Writer) (int64, error) {
	var text strings.Builder
	fmt.Fprintf(&text, "## %s\n\n", t.Title)
	for _, note := range t.Notes {
		fmt.Fprintf(&text, "%s\n\n", note)
	}
	fmt.Fprintf(&text, "| %s |\n", strings.Join(t.Columns, " | "))
	fmt.Fprintf(&text, "|%s\n", strings.Repeat(" --- |", len(t.Columns)))
	for _, row := range t.Rows {
		fmt.Fprintf(&text, "| %s |\n", strings.Join(row, " | "))
	}
	text.WriteString("\n")
	written, err := io.WriteString(w, text.String())
	return int64(written), err
}

// quantile returns a quantile of durations by the nearest rank.
func quantile(durations []time.Duration, q float64) time.Duration {
	return quantileOfSorted(slices.Sorted(slices.Values(durations)), q)
}

// quantileOfSorted returns a quantile of sorted durations by the nearest rank.
func quantileOfSorted(ordered []time.Duration, q float64) time.Duration {
	if len(ordered) == 0 {
		return 0
	}
	return ordered[min(len(ordered)-1, int(q*float64(len(ordered))))]
}

// percent formats a part of a whole as a percentage.
func percent(part, whole float64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*part/whole)
}
