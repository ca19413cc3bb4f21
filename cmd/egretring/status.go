package main

import (
	"github.com/peterbourgon/ff/v3/ffcli"

	"egretring.example/egretring/printer"
	"egretring.example/egretring/requester"
)

func statusCommand(c *console) *ffcli.Command {
	return viewCommand(c, "status", "show the instances, zones and waiting tickets", (*requester.Client).Status, printer.Status)
}
