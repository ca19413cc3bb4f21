package main

import (
	"github.com/peterbourgon/ff/v3/ffcli"

	"egretring.example/egretring/printer"
	"egretring.example/egretring/requester"
)

func zonesCommand(c *console) *ffcli.Command {
	return viewCommand(c, "zones", "list the availability zones", (*requester.Client).Zones, printer.Zones)
}
