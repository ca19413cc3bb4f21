package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"egretring.example/egretring/checker"
	"egretring.example/egretring/classifier"
	"egretring.example/egretring/platform"
	"egretring.example/egretring/printer"
)

func configurationCheckCommand(c *console) *ffcli.Command {
	flags := c.flags("check")
	inForce := flags.String("in-force", "", "file with the configuration in force, to compare with")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "egretring configuration check [-in-force FILE] [-json] FILE",
		ShortHelp:  "check a configuration before it is sent; needs no instance",
		LongHelp: "Exit codes: 0 valid, 2 bad command line, 3 a file cannot be read, 8 valid with warnings, 9 not valid.\n\n" +
			"Example:\n  egretring configuration check -in-force present.json next.json",
		FlagSet: flags,
		Exec: func(_ context.Context, args []string) error {
			if err := checkArguments("FILE", args); err != nil {
				return err
			}
			return c.checkConfiguration(args[0], *inForce)
		},
	}
}

// checkConfiguration checks a file, and compares it with another one unless that has no name.
func (c *console) checkConfiguration(name, inForce string) error {
	if name == "-" && inForce == "-" {
		return classifier.New(classifier.BadRequest, "only one of the files can be the standard input")
	}
	text, err := c.readConfiguration(name)
	if err != nil {
		return err
	}
	document, findings, readable := readDocument(text)
	if readable {
		findings = append(findings, checker.Check(document)...)
	}
	var comparison checker.Comparison
	if inForce != "" {
		text, err := c.readConfiguration(inForce)
		if err != nil {
			return err
		}
		before, faults, usable := readDocument(text)
		findings = append(findings, ofFileInForce(faults)...)
		if readable && usable {
			comparison = checker.Compare(before, document)
		}
	}
	report := checker.NewReport(append(findings, comparison.Findings...), comparison.Differences)
	if err := show(c, report, nil, printer.CheckedConfiguration); err != nil {
		return err
	}
	return outcomeOf(report)
}

// readDocument reads a text, unless it has been cut because it is too large.
func readDocument(text []byte) (checker.Document, []checker.Finding, bool) {
	if findings := checker.CheckSize(len(text)); len(findings) > 0 {
		return checker.Document{}, findings, false
	}
	return platform.ReadDocument(text)
}

// ofFileInForce returns the errors of the file in force, marked as such. Its warnings say nothing about the checked file.
func ofFileInForce(findings []checker.Finding) []checker.Finding {
	var marked []checker.Finding
	for _, finding := range findings {
		if finding.Severity != checker.Error {
			continue
		}
		finding.InForce = true
		marked = append(marked, finding)
	}
	return marked
}

func outcomeOf(report checker.Report) error {
	switch {
	case !report.Valid:
		return checkOutcome{code: exitInvalid}
	case report.Warnings > 0:
		return checkOutcome{code: exitWarnings}
	}
	return nil
}
