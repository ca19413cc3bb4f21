package forwarder_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakebackend"
	"egretring.example/egretring/forwarder"
)

const (
	agreementSeed     = 20261204
	agreementWorkers  = 4
	agreementRequests = 120
)

var agreementModes = []fakebackend.Mode{
	fakebackend.Healthy, fakebackend.FailsFast, fakebackend.Leaving, fakebackend.Refuses,
	fakebackend.TruncatesLength, fakebackend.TruncatesChunked, fakebackend.BreaksBeforeRun,
	fakebackend.BreaksAfterRun, fakebackend.RespondsLate, fakebackend.IgnoresCancel,
}

// exchangeRecord is one exchange of TestEvidenceAgreesWithRuns.
type exchangeRecord struct {
	id     string
	result forwarder.Result
	body   []byte
	want   []byte
}

// exchangeOnce makes one exchange with a random method, body size and response length; one in four is cancelled after
// a random number of yields.
func exchangeOnce(f *forwarder.Forwarder, address, id string, random *rand.Rand) exchangeRecord {
	length := 1 + random.IntN(48<<10)
	options := optionsFor(address)
	options.Request.Method = []string{http.MethodGet, http.MethodPost}[random.IntN(2)]
	options.Request.Body = make([]byte, random.IntN(3)*50_000)
	options.Request.Header = http.Header{
		forwarder.HeaderRequest:         {id},
		forwarder.HeaderIdempotencyKey:  {"k-" + id},
		fakebackend.HeaderRunTime:       {"300us"},
		fakebackend.HeaderResponseBytes: {fmt.Sprint(length)},
	}
	recorder := httptest.NewRecorder()
	options.Writer = recorder
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if random.IntN(4) == 0 {
		yields := random.IntN(200)
		go func() {
			for range yields {
				runtime.Gosched()
			}
			cancel()
		}()
	}
	result := f.Exchange(ctx, options)
	return exchangeRecord{id: id, result: result, body: recorder.Body.Bytes(), want: fakebackend.ResponseBody(id, length)}
}

// TestEvidenceAgreesWithRuns guards against evidence that contradicts which requests the backend server ran, under
// faults, cancellations and reused connections, and against more concurrent requests than the server has slots.
func TestEvidenceAgreesWithRuns(t *testing.T) {
	t.Logf("seed %d", agreementSeed)
	for i, mode := range agreementModes {
		t.Run(fmt.Sprintf("mode %d", mode), func(t *testing.T) {
			server, err := fakebackend.New("s1", fakebackend.WithSeed(agreementSeed), fakebackend.WithSlots(agreementWorkers)).Listen("127.0.0.1:0")
			require.NoError(t, err)
			server.SetFaults(fakebackend.Faults{Mode: mode, Share: 0.3, Delay: 1})
			f := forwarder.New(forwarder.WithConnections(agreementWorkers))
			runs := make([][]exchangeRecord, agreementWorkers)
			var workers sync.WaitGroup
			for w := range agreementWorkers {
				workers.Go(func() {
					random := rand.New(rand.NewPCG(agreementSeed, uint64(i*agreementWorkers+w)))
					for n := range agreementRequests {
						runs[w] = append(runs[w], exchangeOnce(f, server.Address(), fmt.Sprintf("%d-%d", w, n), random))
					}
				})
			}
			workers.Wait()
			f.CloseIdle()
			require.NoError(t, server.Close())
			for _, worker := range runs {
				for _, run := range worker {
					requireAgreement(t, server.Ledger(), run)
				}
			}
			require.Zero(t, server.Ledger().Violations().DoubledKeys)
			counters := server.Counters()
			require.Zero(t, counters.SlotsExceeded, "%+v", counters)
			require.LessOrEqual(t, counters.HighestConnections, 2*agreementWorkers)
			t.Logf("%+v", counters)
		})
	}
}

func requireAgreement(t *testing.T, ledger *fakebackend.Ledger, run exchangeRecord) {
	t.Helper()
	evidence, ran := run.result.Evidence, ledger.Runs(run.id)
	require.LessOrEqual(t, ran, 1, "request %s", run.id)
	require.False(t, run.result.MayStillRun, "request %s", run.id)
	if evidence.ProvesNotRun() {
		require.Zero(t, ran, "request %s ran after %s", run.id, evidence)
	}
	switch evidence {
	case describer.Answered:
		require.Equal(t, run.want, run.body, "request %s", run.id)
		require.Equal(t, 1, ran, "request %s", run.id)
	case describer.Failed, describer.Truncated:
		require.Equal(t, 1, ran, "request %s", run.id)
	}
}
