package main

import (
	"github.com/peterbourgon/ff/v3/ffcli"

	"egretring.example/egretring/printer"
	"egretring.example/egretring/requester"
)

func teamsCommand(c *console) *ffcli.Command {
	return viewCommand(c, "teams", "list the teams, their quotas and what they use", (*requester.Client).Teams, printer.Teams)
}
