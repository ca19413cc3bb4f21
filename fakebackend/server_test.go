package fakebackend_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/fakebackend"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/tester"
)

func TestMain(m *testing.M) {
	tester.Main(m)
}

func listen(t *testing.T, options ...fakebackend.Option) *fakebackend.ListeningServer {
	t.Helper()
	running, err := fakebackend.New("s1", options...).Listen("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, running.Close()) })
	return running
}

// TestRequestModesAgreeInMemoryAndOverHTTP guards against a mode that counts a run which did not happen or misses one,
// and against modes that behave differently in memory and over HTTP.
func TestRequestModesAgreeInMemoryAndOverHTTP(t *testing.T) {
	cases := []struct {
		name     string
		faults   fakebackend.Faults
		runs     int
		status   int
		complete bool
		notRun   string
	}{
		{"healthy", fakebackend.Faults{}, 1, 200, true, ""},
		{"fails fast", fakebackend.Faults{Mode: fakebackend.FailsFast}, 1, 500, true, ""},
		{"leaving", fakebackend.Faults{Mode: fakebackend.Leaving}, 0, 503, true, "true"},
		{"refuses", fakebackend.Faults{Mode: fakebackend.Refuses}, 0, 503, true, "true"},
		{"truncates length", fakebackend.Faults{Mode: fakebackend.TruncatesLength}, 1, 200, false, ""},
		{"truncates chunked", fakebackend.Faults{Mode: fakebackend.TruncatesChunked}, 1, 200, false, ""},
		{"breaks before run", fakebackend.Faults{Mode: fakebackend.BreaksBeforeRun}, 0, 0, false, ""},
		{"breaks after run", fakebackend.Faults{Mode: fakebackend.BreaksAfterRun}, 1, 0, false, ""},
		{"slow", fakebackend.Faults{Mode: fakebackend.Slow, Factor: 2}, 1, 200, true, ""},
		{"late", fakebackend.Faults{Mode: fakebackend.RespondsLate, Delay: 1}, 1, 200, true, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := listen(t)
			server.SetFaults(c.faults)
			request, err := http.NewRequest(http.MethodPost, "http://"+server.Address()+"/tally/charge", nil)
			require.NoError(t, err)
			request.Header.Set(forwarder.HeaderRequest, "r1")
			request.Header.Set(forwarder.HeaderIdempotencyKey, "k1")
			request.Header.Set(fakebackend.HeaderRunTime, "1ns")
			response, err := http.DefaultTransport.RoundTrip(request)
			if c.status == 0 {
				require.Error(t, err)
			} else {
				require.NoError(t, err)
				defer response.Body.Close()
				require.Equal(t, c.status, response.StatusCode)
				require.Equal(t, c.notRun, response.Header.Get(forwarder.HeaderNotRun))
				body, err := io.ReadAll(response.Body)
				require.Equal(t, c.complete, err == nil)
				if c.complete && c.status == http.StatusOK {
					require.Equal(t, fakebackend.ResponseBody("r1", 64), body)
				}
			}
			inMemory := fakebackend.NewState("s1")
			inMemory.SetFaults(time.Unix(990, 0), c.faults)
			decision := inMemory.Begin(time.Unix(1000, 0), fakebackend.Request{ID: "r1", Key: "k1"})
			require.Equal(t, c.runs == 1, decision.Run != 0)
			require.EqualValues(t, c.runs, inMemory.Counters().Runs)
			require.Equal(t, server.Counters().Refused, inMemory.Counters().Refused)
			require.Equal(t, c.faults.Mode == fakebackend.Leaving, inMemory.Counters().LatestWhileLeaving == 10*time.Second)
			require.Equal(t, c.runs, server.Ledger().Runs("r1"))
			require.Equal(t, c.runs, server.Ledger().RunsOfKey("k1"))
			require.Zero(t, server.Counters().BusySlots)
		})
	}
}
