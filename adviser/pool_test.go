package adviser_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/adviser"
)

var start = time.Unix(1_700_000_000, 0)

// TestAdvisorMakesOneCallAtATime guards against an advisor that is given a second call while one is in flight, and
// against one that stays busy forever after a call without a result.
func TestAdvisorMakesOneCallAtATime(t *testing.T) {
	var pool adviser.Pool
	pool.Set([]string{"a", "b"})
	until := start.Add(time.Second)
	first, ok := pool.Take(start, until, false)
	require.True(t, ok)
	second, ok := pool.Take(start, until, false)
	require.True(t, ok)
	require.NotEqual(t, first, second)
	_, ok = pool.Take(start, until, false)
	require.False(t, ok)
	pool.Set([]string{"a", "b"})
	free, _ := pool.Free(start)
	require.Zero(t, free, "setting the same advisors again must not end their calls")
	pool.Finish(start, first, false)
	again, ok := pool.Take(start, until, false)
	require.True(t, ok)
	require.Equal(t, first, again)
	free, _ = pool.Free(until)
	require.Equal(t, 2, free)
}

// TestLongCallsLeaveAnAdvisorFree guards against long calls that occupy all advisors, so that urgent jobs wait.
func TestLongCallsLeaveAnAdvisorFree(t *testing.T) {
	var pool adviser.Pool
	pool.Set([]string{"a", "b", "c"})
	until := start.Add(time.Second)
	for range 2 {
		_, ok := pool.Take(start, until, true)
		require.True(t, ok)
	}
	_, ok := pool.Take(start, until, true)
	require.False(t, ok)
	_, ok = pool.Take(start, until, false)
	require.True(t, ok)
}

// TestFailedAdvisorBacksOff guards against an unreachable advisor that is used as often as the others.
func TestFailedAdvisorBacksOff(t *testing.T) {
	var pool adviser.Pool
	pool.Set([]string{"a", "b"})
	now := start
	for range 3 {
		pool.Finish(now, "a", true)
		free, _ := pool.Free(now)
		require.Equal(t, 1, free)
		now = now.Add(5 * time.Second)
	}
	name, ok := pool.Take(now, now.Add(time.Second), false)
	require.True(t, ok)
	require.Equal(t, "b", name)
	pool.Finish(now, "a", true)
	free, _ := pool.Free(now.Add(3900 * time.Millisecond))
	require.Equal(t, 1, free, "the backoff of an advisor that failed often lasts for 4 s")
}

// TestLongCallsUseAdvisorsThatShortCallsLeave guards against a backlog of long calls that leaves a third of the advisors
// idle although there are hardly any short calls, and against long calls that take the advisors of short ones at a crest.
func TestLongCallsUseAdvisorsThatShortCallsLeave(t *testing.T) {
	var pool adviser.Pool
	names := make([]string, 18)
	for i := range names {
		names[i] = string(rune('a' + i))
	}
	pool.Set(names)
	crest := make([]string, 0, 8)
	for range 8 {
		name, ok := pool.Take(start, start.Add(time.Second), false)
		require.True(t, ok)
		crest = append(crest, name)
	}
	_, freeForLong := pool.Free(start)
	require.Equal(t, 10, freeForLong, "no advisor beyond those of the short calls is reserved")
	for _, name := range crest {
		pool.Finish(start, name, false)
	}
	_, freeForLong = pool.Free(start)
	require.Equal(t, 12, freeForLong, "a third of the advisors stays reserved after a crest of short calls")
	later := start
	for range 3 {
		later = later.Add(2 * time.Second)
		name, ok := pool.Take(later, later.Add(time.Second), true)
		require.True(t, ok)
		pool.Finish(later, name, false)
	}
	_, freeForLong = pool.Free(later)
	require.Equal(t, 17, freeForLong, "one advisor is reserved without short calls")
}
