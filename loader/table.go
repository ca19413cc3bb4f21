package loader

import (
	"fmt"
	"strings"
)

// Table returns the description of all fields as a Markdown table.
func Table() string {
	var table strings.Builder
	table.WriteString("| field | unit | default | allowed | purpose |\n| --- | --- | --- | --- | --- |\n")
	for _, field := range Fields() {
		value := "required"
		if !field.Required() {
			value = "`" + field.Default + "`"
		}
		fmt.Fprintf(&table, "| `%s` | %s | %s | %s | %s |\n", field.Path, field.Unit, value, field.Allowed, field.Purpose)
	}
	return table.String()
}
