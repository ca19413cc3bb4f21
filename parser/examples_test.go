package parser_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/parser"
	"egretring.example/egretring/ticketer"
)

// TestExampleTicketsAreValid guards against sample tickets that cannot be applied one after the other, and against
// samples without the slots, job policies and quotas that both deployments need.
func TestExampleTicketsAreValid(t *testing.T) {
	for _, deployment := range []string{"tumbonas", "hronov"} {
		t.Run(deployment, func(t *testing.T) {
			var state ticketer.State
			for i, name := range []string{"services.hujson", "jobs.hujson"} {
				text, err := os.ReadFile(filepath.Join("..", "examples", deployment, name))
				require.NoError(t, err)
				ticket, err := parser.Parse(text)
				require.NoError(t, err)
				require.Equal(t, int64(i), ticket.Base)
				require.NoError(t, ticketer.Check(state, ticket))
				state, err = ticketer.Apply(state, ticketer.AcceptedTicket{Number: int64(i) + 1, Ticket: ticket})
				require.NoError(t, err)
			}
			for _, service := range state.Services() {
				require.Equal(t, 8, service.SlotsPerBackendServer)
				require.Equal(t, 64, service.ConnectionsPerBackendServer)
			}
			policies := make(map[describer.JobPolicy]int)
			for _, job := range state.Jobs() {
				policies[job.Policy]++
				_, hasQuota := state.Quota(job.Team)
				require.True(t, hasQuota, job.Team)
			}
			require.Equal(t, map[describer.JobPolicy]int{
				describer.ServiceJob: 1, describer.BatchJob: 1, describer.GangJob: 1,
			}, policies)
		})
	}
}
