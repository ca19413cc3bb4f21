package limiter_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/limiter"
)

// begin begins calls of a class without waiting for kept connections and returns how many were permitted.
func begin(s *limiter.Server[int], class limiter.Class, calls int) int {
	permitted := 0
	for range calls {
		if _, granted := s.Begin(class, true, 0); granted {
			permitted++
		}
	}
	return permitted
}

// TestLimitsFitServer guards against lost owners, a former owner, the owner and a borrower that together have more connections than a
// server accepts.
func TestLimitsFitServer(t *testing.T) {
	const owners = 3
	for maxConnections := 4; maxConnections < 5000; maxConnections++ {
		limits := limiter.LimitsOf(maxConnections)
		require.Positive(t, limits.Calls, maxConnections)
		require.LessOrEqual(t, limits.Left+owners*limits.Calls, maxConnections)
	}
	require.Equal(t, limiter.LimitsOf(limiter.DefaultMaxConnections), limiter.LimitsOf(0))
	require.Equal(t, limiter.LimitsOf(limiter.DefaultMaxConnections), limiter.LimitsOf(-1))
	require.Equal(t, 1, limiter.LimitsOf(1).Calls)
}

// TestCallsWithoutResponseDelayNoUrgentOnes guards against an urgent start or a renewal that waits behind calls that hang.
func TestCallsWithoutResponseDelayNoUrgentOnes(t *testing.T) {
	limits := limiter.LimitsOf(limiter.DefaultMaxConnections)
	s := limiter.NewServer[int](limits)
	require.Less(t, begin(s, limiter.Order, 100), limits.Calls)
	require.Positive(t, begin(s, limiter.UrgentStart, 100))
	require.Positive(t, begin(s, limiter.Renewal, 100))
	require.Equal(t, limits.Calls, s.Calls())
}

func TestMostUrgentCallIsNext(t *testing.T) {
	s := limiter.NewServer[string](limiter.LimitsOf(limiter.DefaultMaxConnections))
	for _, class := range []limiter.Class{limiter.Order, limiter.UrgentStart, limiter.Renewal} {
		for granted := true; granted; {
			_, granted = s.Begin(class, true, map[limiter.Class]string{
				limiter.Order: "order", limiter.UrgentStart: "urgent start", limiter.Renewal: "renewal",
			}[class])
		}
	}
	s.End(limiter.Grant{})
	next, _, found := s.Next()
	require.True(t, found)
	require.Equal(t, "renewal", next)
	s.End(limiter.Grant{})
	_, _, found = s.Next()
	require.False(t, found, "the place of a renewal is not for others")
	s.End(limiter.Grant{})
	next, _, found = s.Next()
	require.True(t, found)
	require.Equal(t, "urgent start", next)
}

// TestCallsReuseKeptConnections guards against a new connection for each call of a burst, which servers charge for.
func TestCallsReuseKeptConnections(t *testing.T) {
	s := limiter.NewServer[int](limiter.LimitsOf(limiter.DefaultMaxConnections))
	for call := range limiter.KeptConnections {
		grant, granted := s.Begin(limiter.Order, false, call)
		require.True(t, granted && grant.Kept)
	}
	for _, waits := range []int{10, 11, 12} {
		_, granted := s.Begin(limiter.Order, false, waits)
		require.False(t, granted)
	}
	s.End(limiter.Grant{Kept: true})
	next, grant, found := s.Next()
	require.True(t, found && grant.Kept)
	require.Equal(t, 10, next)

	s.Hurry(limiter.Order, 12)
	_, _, found = s.Next()
	require.False(t, found, "the calls of a class begin in turn")
	s.Hurry(limiter.Order, 11)
	for _, want := range []int{11, 12} {
		next, grant, found = s.Next()
		require.True(t, found)
		require.Equal(t, want, next)
		require.False(t, grant.Kept, "a call that has waited gets a connection of its own")
	}
	_, granted := s.Begin(limiter.Order, false, 13)
	require.False(t, granted)
	require.True(t, s.Withdraw(limiter.Order, 13))
	require.False(t, s.Withdraw(limiter.Order, 13))
}

// TestKeptConnectionsEndWithTheirShare guards against connections that lost owners leave open without a bound.
func TestKeptConnectionsEndWithTheirShare(t *testing.T) {
	limits := limiter.LimitsOf(limiter.DefaultMaxConnections)
	keeps := func(s *limiter.Server[int]) bool {
		grant, granted := s.Begin(limiter.Order, false, 0)
		require.True(t, granted)
		s.End(grant)
		return grant.Kept
	}
	s := limiter.NewServer[int](limits)
	s.SetIncarnation(1000, limits.Left-limiter.KeptConnections)
	require.True(t, keeps(s))
	s = limiter.NewServer[int](limits)
	s.SetIncarnation(1000, limits.Left-limiter.KeptConnections+1)
	require.False(t, keeps(s))
	s.SetIncarnation(1000, 0)
	require.False(t, keeps(s), "only a later incarnation has lost the connections")
	s.SetIncarnation(999, 0)
	require.False(t, keeps(s))
	s.SetIncarnation(1001, 0)
	require.True(t, keeps(s))
}

// TestOwnerLeavesNoMoreThanCounted guards against an owner that closes connections for want of a response again and again, and leaves more of
// them open when it is lost than its successor counts.
func TestOwnerLeavesNoMoreThanCounted(t *testing.T) {
	s := limiter.NewServer[int](limiter.LimitsOf(limiter.DefaultMaxConnections))
	for abandoned := range 10 {
		for call := range limiter.KeptConnections {
			grant, granted := s.Begin(limiter.Order, false, call)
			if !granted {
				s.Withdraw(limiter.Order, call)
				continue
			}
			s.End(grant)
			if grant.Kept {
				s.NoteAbandoned()
			}
		}
		require.LessOrEqual(t, s.Left(), limiter.KeptConnections, abandoned)
	}
	s.SetIncarnation(1, 0)
	grant, _ := s.Begin(limiter.Order, false, 0)
	require.True(t, grant.Kept, "the server has restarted")
}

// TestBorrowerKeepsNoConnections guards against connections that lost owners of other shards leave open, which the home shard does not count.
func TestBorrowerKeepsNoConnections(t *testing.T) {
	s := limiter.NewServer[int](limiter.LimitsOf(limiter.DefaultMaxConnections))
	grant, granted := s.Begin(limiter.Renewal, true, 0)
	require.True(t, granted)
	require.False(t, grant.Kept)
}
