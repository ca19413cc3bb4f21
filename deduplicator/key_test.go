package deduplicator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/deduplicator"
)

// FuzzParseKey guards against keys of callers that crash the parser, break log lines or carry a wrong time.
func FuzzParseKey(f *testing.F) {
	f.Add("hala-a:" + uuid(epochStart, 1))
	f.Add("k")
	f.Add(":")
	f.Fuzz(func(t *testing.T, text string) {
		key, err := deduplicator.ParseKey(text)
		if err != nil {
			require.True(t, classifier.IsErrKind(err, classifier.BadRequest))
			return
		}
		require.Equal(t, text, key.String())
		require.LessOrEqual(t, len(text), 255)
		require.NotContains(t, text, "\n")
		if !key.IssuedAt().IsZero() {
			require.Less(t, key.IssuedAt().UnixMilli(), int64(1)<<48)
		}
	})
}

// FuzzParseAttempt guards against a header other than "1" that is parsed as a first attempt.
func FuzzParseAttempt(f *testing.F) {
	f.Add("1")
	f.Add("+1")
	f.Add("01")
	f.Fuzz(func(t *testing.T, text string) {
		attempt, err := deduplicator.ParseAttempt(text)
		if attempt == 1 {
			require.Equal(t, "1", text)
		}
		require.Equal(t, text == "" || err != nil, attempt == deduplicator.AttemptUnknown)
	})
}

// TestParseKey guards against an issue time that is read from a text other than a UUIDv7.
func TestParseKey(t *testing.T) {
	issuedAt := time.UnixMilli(1_800_000_000_123)
	require.Equal(t, issuedAt, parse(t, uuid(issuedAt, 1)).IssuedAt())
	require.Equal(t, issuedAt, parse(t, "sklad:"+uuid(issuedAt, 1)).IssuedAt())
	for _, text := range []string{
		"01900000-0000-4000-8000-000000000000", "01900000-0000-7000-0000-000000000000",
		"0190000000007000800000000000000000000", "01900000-0000-7000-8000-00000000000g", "k",
	} {
		require.True(t, parse(t, text).IssuedAt().IsZero(), text)
	}
	for _, text := range []string{"", "a b", "a\n", "ä", string(make([]byte, 300))} {
		_, err := deduplicator.ParseKey(text)
		require.True(t, classifier.IsErrKind(err, classifier.BadRequest), "%q", text)
	}
}
