package checker

import (
	"cmp"
	"slices"
)

// Report is the result of a check.
type Report struct {
	Valid    bool
	Errors   int
	Warnings int
	// Findings and Differences are sorted by place.
	Findings    []Finding
	Differences []Difference
}

// NewReport sorts and counts findings and differences.
func NewReport(findings []Finding, differences []Difference) Report {
	report := Report{Findings: append([]Finding{}, findings...), Differences: append([]Difference{}, differences...)}
	slices.SortStableFunc(report.Findings, func(a, b Finding) int {
		return cmp.Or(comparePlaces(a.Place, b.Place), cmp.Compare(a.Severity, b.Severity))
	})
	slices.SortStableFunc(report.Differences, func(a, b Difference) int {
		return cmp.Or(comparePlaces(a.Place, b.Place), cmp.Compare(a.Change, b.Change))
	})
	for _, finding := range findings {
		if finding.Severity == Error {
			report.Errors++
		} else {
			report.Warnings++
		}
	}
	report.Valid = report.Errors == 0
	return report
}
