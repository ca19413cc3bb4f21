package gatekeeper

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"egretring.example/egretring/tester"
)

func TestMain(m *testing.M) {
	tester.Main(m)
}

// opened opens a connection in a ledger that has room for it.
func opened(t *testing.T, l *Ledger) *Account {
	account, closed := l.Open(nil)
	require.NotNil(t, account)
	require.Empty(t, closed)
	return account
}

// TestLongestWithoutProgressIsClosedFirst guards against closing callers that make progress while others hold memory and stand still.
func TestLongestWithoutProgressIsClosedFirst(t *testing.T) {
	l := NewLedger(Limits{MemoryBytes: 3*connectionBytes + 300})
	first, second, third := opened(t, l), opened(t, l), opened(t, l)
	for _, account := range []*Account{first, second, third, first} {
		closed, fits := l.Charge(account, 75)
		require.True(t, fits)
		require.Empty(t, closed)
	}
	closed, fits := l.Charge(third, 75)
	require.True(t, fits)
	require.Equal(t, []*Account{second}, closed)
	_, fits = l.Charge(second, 1)
	require.False(t, fits, "a closed connection gets no memory")
}

// TestConnectionLimitClosesLongestIdle guards against callers that keep others out by opening connections.
func TestConnectionLimitClosesLongestIdle(t *testing.T) {
	l := NewLedger(Limits{Connections: 2})
	first, second := opened(t, l), opened(t, l)
	_, fits := l.Charge(first, 1)
	require.True(t, fits)
	third, closed := l.Open(nil)
	require.Equal(t, []*Account{second}, closed)
	for _, account := range []*Account{first, third} {
		l.Serve(account)
	}
	account, closed := l.Open(nil)
	require.Nil(t, account, "connections whose requests are served are not closed")
	require.Empty(t, closed)
}

// TestOnlyRequestAlwaysFits guards against a request within the limits of the configuration that an idle instance refuses.
func TestOnlyRequestAlwaysFits(t *testing.T) {
	l := NewLedger(Limits{MemoryBytes: 10 * connectionBytes})
	only, other := opened(t, l), opened(t, l)
	_, fits := l.Charge(only, 20*connectionBytes)
	require.True(t, fits)
	l.Serve(only)
	_, fits = l.Charge(other, 1)
	require.False(t, fits)
	l.Answered(only)
	l.Answered(other)
	_, fits = l.Charge(other, 1)
	require.True(t, fits)
}

// TestLedgerBalances guards against memory and connections that are counted twice or never released, which would refuse all callers
// in the end, and against bounds that are exceeded.
func TestLedgerBalances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MemoryBytes: 8 * connectionBytes, Connections: rapid.IntRange(1, 10).Draw(t, "connections")}
		l := NewLedger(limits)
		var accounts []*Account
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(accounts) == 0 || rapid.IntRange(0, 3).Draw(t, "open") == 0 {
				if account, _ := l.Open(nil); account != nil {
					accounts = append(accounts, account)
				}
				continue
			}
			account := rapid.SampledFrom(accounts).Draw(t, "account")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				wasServing := servingOf(accounts)
				before, _ := l.Used()
				closed, fits := l.Charge(account, rapid.Int64Range(1, 3*connectionBytes).Draw(t, "bytes"))
				after, _ := l.Used()
				require.True(t, after <= max(before, limits.MemoryBytes) || l.requests == 1, "the bound is exceeded")
				require.True(t, fits || len(closed) == 0, "connections were closed in vain")
				for _, victim := range closed {
					require.NotSame(t, account, victim)
					require.False(t, wasServing[victim], "a served request was closed")
				}
			case 2:
				l.Serve(account)
			case 3:
				l.Answered(account)
			case 4:
				l.Close(account)
			}
			requireBalance(t, l, accounts, limits)
		}
		for _, account := range accounts {
			l.Close(account)
		}
		bytes, connections := l.Used()
		require.Zero(t, bytes)
		require.Zero(t, connections)
	})
}

func servingOf(accounts []*Account) map[*Account]bool {
	serving := make(map[*Account]bool)
	for _, account := range accounts {
		serving[account] = account.state == Serving && !account.closing
	}
	return serving
}

func requireBalance(t *rapid.T, l *Ledger, accounts []*Account, limits Limits) {
	var bytes, serving int64
	open, requests := 0, 0
	for _, account := range accounts {
		if !account.gone {
			open++
		}
		if account.closing {
			continue
		}
		bytes += connectionBytes + account.bytes
		if account.state == Serving {
			serving += connectionBytes + account.bytes
		}
		if account.bytes > 0 {
			requests++
		}
	}
	used, connections := l.Used()
	require.Equal(t, bytes, used)
	require.Equal(t, serving, l.serving)
	require.Equal(t, open, connections)
	require.LessOrEqual(t, open, limits.Connections)
	require.Equal(t, requests, l.requests)
}
