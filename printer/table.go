package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/describer"
)

// table writes aligned columns.
type table struct {
	writer *tabwriter.Writer
}

func newTable(w io.Writer, columns ...any) *table {
	t := &table{writer: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.row(columns...)
	return t
}

func (t *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = textOf(cell)
	}
	fmt.Fprintln(t.writer, strings.Join(texts, "\t"))
}

func (t *table) flush() error {
	return errors.Wrap(t.writer.Flush(), "write table")
}

// textOf returns the text of a cell on one line. An empty value becomes "-", so that programs that split a line at
// spaces still find each column.
func textOf(cell any) string {
	var text string
	switch value := cell.(type) {
	case time.Time:
		if !value.IsZero() {
			text = value.UTC().Format(time.RFC3339)
		}
	case bool:
		text = "no"
		if value {
			text = "yes"
		}
	case describer.Resources:
		text = fmt.Sprintf("%.4gc/%.4gGiB/%da", float64(value.MilliCores)/1000,
			float64(value.MemoryBytes)/(1<<30), value.Accelerators)
	default:
		text = fmt.Sprint(value)
	}
	if text == "" {
		return "-"
	}
	return strings.ReplaceAll(text, "\n", " ")
}

// JSON writes a value as indented JSON.
func JSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write JSON")
}
