package main

import (
	"github.com/peterbourgon/ff/v3/ffcli"

	"egretring.example/egretring/printer"
	"egretring.example/egretring/requester"
)

func servicesCommand(c *console) *ffcli.Command {
	return viewCommand(c, "services", "list the services and their load", (*requester.Client).Services, printer.Services)
}
