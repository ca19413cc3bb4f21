package printer

import (
	"fmt"
	"io"
	"strings"
	"unicode"

	"github.com/pkg/errors"

	"egretring.example/egretring/checker"
)

// CheckedConfiguration writes a line for each finding and each difference of a checked configuration, and a summary.
func CheckedConfiguration(w io.Writer, report checker.Report) error {
	var text strings.Builder
	for _, finding := range report.Findings {
		severity := strings.ToLower(string(finding.Severity))
		fmt.Fprintf(&text, "%s: %s: %s\n", placeText(finding.Place, finding.InForce), severity, printable(finding.Message))
	}
	for _, d := range report.Differences {
		change := strings.ToLower(string(d.Change))
		fmt.Fprintf(&text, "%s: %s: %s: %s -> %s\n", placeText(d.Place, d.InForce), change, printable(d.Object), valueText(d.Before), valueText(d.After))
	}
	validity := "valid"
	if !report.Valid {
		validity = "not valid"
	}
	fmt.Fprintf(&text, "configuration is %s: errors %d, warnings %d, differences %d\n", validity, report.Errors, report.Warnings,
		len(report.Differences))
	_, err := io.WriteString(w, text.String())
	return errors.Wrap(err, "write findings")
}

func placeText(place string, inForce bool) string {
	if place == "" {
		place = "file"
	}
	if inForce {
		place = "in force: " + place
	}
	return printable(place)
}

func valueText(value string) string {
	if value == "" {
		return "-"
	}
	return printable(value)
}

// printable replaces characters that would break a line or control a terminal; the file may be anybody's.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '?'
	}, text)
}
