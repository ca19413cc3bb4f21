package demonstrator_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/demonstrator"
)

// TestBrokenGuaranteesTellCapacitiesApart guards against one count for excesses with different causes.
func TestBrokenGuaranteesTellCapacitiesApart(t *testing.T) {
	cases := []struct {
		over demonstrator.OverCapacity
		want string
	}{
		{demonstrator.OverCapacity{Requests: 1}, "requests above a backend server's slots"},
		{demonstrator.OverCapacity{Connections: 1}, "connections above a backend server's limit"},
		{demonstrator.OverCapacity{Tasks: 1}, "tasks above a backend server's capacity"},
	}
	for _, c := range cases {
		require.Equal(t, []string{c.want}, demonstrator.Result{OverCapacity: c.over}.BrokenGuarantees())
	}
}
