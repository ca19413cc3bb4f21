package main

import (
	"context"
	"crypto/rand"
	"flag"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/reporter"
	"egretring.example/egretring/requester"
	"egretring.example/egretring/ticketer"
)

// drainOptions holds the flags of the command drain.
type drainOptions struct {
	undo   bool
	wait   bool
	reason string
}

func (d *drainOptions) register(flags *flag.FlagSet) {
	flags.BoolVar(&d.undo, "undo", false, "allow new work again")
	flags.BoolVar(&d.wait, "wait", false, "show progress until the ticket is in force everywhere")
	flags.StringVar(&d.reason, "reason", "", "why, for other operators")
}

func drainCommand(c *console) *ffcli.Command {
	var options drainOptions
	flags := c.flags("drain")
	options.register(flags)
	return &ffcli.Command{
		Name:       "drain",
		ShortUsage: "egretring drain [flags] WORKER|ZONE",
		ShortHelp:  "write a ticket that gives a worker or an availability zone no new work",
		LongHelp:   "Example:\n  egretring drain -reason \"rack move\" vallarta-12",
		FlagSet:    flags,
		Exec: c.exec("WORKER|ZONE", func(ctx context.Context, client *requester.Client, args []string) error {
			status, err := client.Status(ctx)
			if err != nil {
				return err
			}
			ticket, err := options.ticket(ctx, client, status, args[0])
			if err != nil {
				return err
			}
			return c.applyTicket(ctx, client, ticket, options.wait)
		}),
	}
}

func (d *drainOptions) ticket(
	ctx context.Context, client *requester.Client, status reporter.StatusView, name string,
) (ticketer.Ticket, error) {
	ticket := newTicket("drain", status)
	isZone := slices.ContainsFunc(status.Zones, func(zone reporter.ZoneView) bool {
		return string(zone.AvailabilityZone) == name
	})
	if isZone {
		ticket.DrainedZones = d.zone(describer.AvailabilityZoneID(name))
		return ticket, nil
	}
	servers, err := client.Servers(ctx, reporter.ServerQuery{})
	if err != nil {
		return ticket, err
	}
	isServer := slices.ContainsFunc(servers, func(server reporter.ServerView) bool {
		return string(server.BackendServer) == name
	})
	// A drain may still be in force after its worker was removed, so -undo accepts a name that is no longer known.
	if !isServer && !d.undo {
		return ticket, classifier.New(classifier.NotFound, "there is no worker or availability zone %q", name)
	}
	ticket.DrainedServers = d.server(describer.BackendServerID(name))
	return ticket, nil
}

func (d *drainOptions) zone(id describer.AvailabilityZoneID) map[describer.AvailabilityZoneID]*ticketer.DrainedZone {
	if d.undo {
		return map[describer.AvailabilityZoneID]*ticketer.DrainedZone{id: nil}
	}
	return map[describer.AvailabilityZoneID]*ticketer.DrainedZone{id: {AvailabilityZone: id, Reason: d.reason}}
}

func (d *drainOptions) server(id describer.BackendServerID) map[describer.BackendServerID]*ticketer.DrainedServer {
	if d.undo {
		return map[describer.BackendServerID]*ticketer.DrainedServer{id: nil}
	}
	return map[describer.BackendServerID]*ticketer.DrainedServer{id: {BackendServer: id, Reason: d.reason}}
}

// newTicket returns an empty ticket that is based on the current state.
func newTicket(purpose string, status reporter.StatusView) ticketer.Ticket {
	return ticketer.Ticket{
		ID:   purpose + "-" + strings.ToLower(rand.Text()),
		Base: status.Configuration.Applied,
	}
}

// applyTicket applies a ticket that a command has built.
func (c *console) applyTicket(ctx context.Context, client *requester.Client, ticket ticketer.Ticket, wait bool) error {
	text, err := encode(ticket)
	if err != nil {
		return err
	}
	return c.apply(ctx, client, text, wait)
}
