package main

import (
	"context"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"egretring.example/egretring/printer"
	"egretring.example/egretring/reporter"
	"egretring.example/egretring/requester"
	"egretring.example/egretring/timekeeper"
)

// clearScreen moves the cursor of a terminal to the top left corner and clears the screen.
const clearScreen = "\x1b[H\x1b[2J"

// topView holds the views that the command top shows in each refresh; -json writes them as one object.
type topView struct {
	Status   reporter.StatusView
	Services []reporter.ServiceView
}

func topCommand(c *console) *ffcli.Command {
	flags := c.flags("top")
	interval := flags.Duration("interval", 2*time.Second, "time between two pictures")
	count := flags.Int("n", 0, "number of pictures; 0 shows pictures until it is interrupted")
	return &ffcli.Command{
		Name:       "top",
		ShortUsage: "egretring top [flags]",
		ShortHelp:  "show instances, zones and services again and again",
		LongHelp:   "Example:\n  egretring top -interval 5s",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			client, err := c.client()
			if err != nil {
				return err
			}
			for shown := 1; ; shown++ {
				if err := c.refresh(ctx, client, *count != 1); err != nil {
					return err
				}
				if shown == *count || !timekeeper.Sleep(ctx, *interval) {
					return nil
				}
			}
		},
	}
}

// refresh gets the views once and shows them. The timeout bounds each refresh, not the whole command.
func (c *console) refresh(ctx context.Context, client *requester.Client, clear bool) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	services, err := client.Services(ctx)
	if err != nil {
		return err
	}
	if c.json {
		return printer.JSON(c.stdout, topView{Status: status, Services: services})
	}
	if clear {
		fmt.Fprint(c.stdout, clearScreen)
	}
	if err := printer.Status(c.stdout, status); err != nil {
		return err
	}
	return printer.Services(c.stdout, services)
}
