package accountant

import (
	"fmt"
	"strings"

	"egretring.example/egretring/specifier"
)

// Text describes an amount as text. Resources of which the limit is zero have none; with a zero limit all are listed.
func Text(amount, limit specifier.Resources) string {
	all := limit == specifier.Resources{}
	var parts []string
	if all || limit.MilliCores > 0 {
		parts = append(parts, fmt.Sprintf("%d millicores", amount.MilliCores))
	}
	if all || limit.MemoryMB > 0 {
		parts = append(parts, fmt.Sprintf("%d MB", amount.MemoryMB))
	}
	if all && amount.Accelerators > 0 || limit.Accelerators > 0 {
		parts = append(parts, fmt.Sprintf("%d accelerators", amount.Accelerators))
	}
	return strings.Join(parts, ", ")
}

// String describes the usage.
func (u Usage) String() string {
	if (u.Limit == specifier.Resources{}) {
		return fmt.Sprintf("team %s has %s and no limit", u.Team, Text(u.Running, u.Limit))
	}
	return fmt.Sprintf("team %s has %s of %s", u.Team, Text(u.Running, u.Limit), Text(u.Limit, u.Limit))
}
