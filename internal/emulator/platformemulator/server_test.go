package platformemulator_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quetzalhitch/quetzalhitch/internal/emulator/platformemulator"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

const callTimeout = 300 * time.Millisecond

// Guards against faults whose effect differs from what the system tests assume,
// so that those tests would prove nothing.
func TestFaults(t *testing.T) {
	put := storer.PutRequest{Key: "config/head", Value: []byte("1")}

	t.Run("a refused connection has no effect", func(t *testing.T) {
		s, client := start(t)
		assert.NilError(t, s.SetFaults(platformemulator.Faults{Outage: platformemulator.OutageRefuse}))
		_, err := client.Put(t.Context(), put)
		assert.ErrorIs(t, err, storer.ErrUnavailable)
		assertRecovers(t, s, client)
		assertAbsent(t, s, put.Key)
	})
	for _, outage := range []platformemulator.Outage{platformemulator.OutageDrop, platformemulator.OutageHang} {
		t.Run("a call in outage "+string(outage)+" has an unknown outcome and no effect", func(t *testing.T) {
			s, client := start(t)
			assert.NilError(t, s.SetFaults(platformemulator.Faults{Outage: outage}))
			_, err := client.Put(t.Context(), put)
			assert.ErrorIs(t, err, storer.ErrUnknownEffect)
			assertRecovers(t, s, client)
			assertAbsent(t, s, put.Key)
		})
	}
	t.Run("a write whose response is lost takes effect", func(t *testing.T) {
		s, client := start(t)
		assert.NilError(t, s.SetFaults(platformemulator.Faults{
			LoseResponses: []platformemulator.ResponseLoss{{KeyPrefix: "config/", Writes: 1}},
		}))
		_, err := client.Put(t.Context(), put)
		assert.ErrorIs(t, err, storer.ErrUnknownEffect)
		_, err = client.Put(t.Context(), put)
		assert.ErrorIs(t, err, storer.ErrConflict)
	})
	t.Run("a delayed write takes effect after its call has failed", func(t *testing.T) {
		s, client := start(t)
		after := platformemulator.Duration(100 * time.Millisecond)
		assert.NilError(t, s.SetFaults(platformemulator.Faults{
			LoseResponses: []platformemulator.ResponseLoss{{Writes: 1, ApplyAfter: after}},
		}))
		_, err := client.Put(t.Context(), put)
		assert.ErrorIs(t, err, storer.ErrUnknownEffect)
		assertAbsent(t, s, put.Key)
		_, err = s.Memory().Watch(t.Context(), put.Key, 0)
		assert.NilError(t, err)
	})
	t.Run("a client outage affects only that client", func(t *testing.T) {
		s, client := start(t)
		assert.NilError(t, s.SetFaults(platformemulator.Faults{
			ClientOutages: []platformemulator.ClientOutage{{Client: "entry-1", Outage: platformemulator.OutageDrop}},
		}))
		_, err := client.List(t.Context(), "")
		assert.ErrorIs(t, err, storer.ErrUnavailable)
		_, err = newClient(s, "entry-2").List(t.Context(), "")
		assert.NilError(t, err)
	})
	t.Run("a write delayed beyond the deadline has an unknown outcome", func(t *testing.T) {
		s, client := start(t)
		assert.NilError(t, s.SetFaults(platformemulator.Faults{Delay: platformemulator.Duration(2 * callTimeout)}))
		_, err := client.Put(t.Context(), put)
		assert.ErrorIs(t, err, storer.ErrUnknownEffect)
		_, err = s.Memory().Watch(t.Context(), put.Key, 0)
		assert.NilError(t, err)
	})
	t.Run("a slow response does not extend a lease", func(t *testing.T) {
		s, client := start(t)
		assert.NilError(t, s.SetFaults(platformemulator.Faults{Delay: platformemulator.Duration(callTimeout / 2)}))
		before := time.Now()
		lease, err := client.GrantLease(t.Context(), time.Second)
		assert.NilError(t, err)
		assert.Assert(t, lease.ExpiresAt.Before(before.Add(time.Second+callTimeout/2)))
	})
	t.Run("an unknown outage is rejected", func(t *testing.T) {
		s, _ := start(t)
		assert.ErrorContains(t, s.SetFaults(platformemulator.Faults{Outage: "rain"}), "unknown outage")
	})
}

// Guards against a control API that does not do what tests in other processes
// rely on when they set faults and instances.
func TestControls(t *testing.T) {
	t.Run("faults", func(t *testing.T) {
		s, _ := start(t)
		base := "http://" + s.Address()
		assertHTTP(t, http.MethodPost, base+"/fault", `{"outage":"drop","delay":"5ms"}`, http.StatusOK)
		assert.Equal(t, s.Faults().Outage, platformemulator.OutageDrop)
		assertHTTP(t, http.MethodPost, base+"/fault", `{"outrage":"drop"}`, http.StatusBadRequest)
		assertHTTP(t, http.MethodPost, base+"/fault", `{"outage":"refuse"}`, http.StatusBadRequest)
	})
	t.Run("counters", func(t *testing.T) {
		s, client := start(t)
		_, err := client.GrantLease(t.Context(), time.Second)
		assert.NilError(t, err)
		_, err = client.List(t.Context(), "")
		assert.NilError(t, err)
		body := assertHTTP(t, http.MethodGet, "http://"+s.Address()+"/stats", "", http.StatusOK)
		assert.Equal(t, body, `{"reads":1,"watches":0,"writes":1}`)
	})
	t.Run("instance list with a lag", func(t *testing.T) {
		clock := clockwork.NewFakeClock()
		s, client := startWith(t, platformemulator.Config{Clock: clock})
		lag := platformemulator.Duration(3 * time.Second)
		assert.NilError(t, s.SetFaults(platformemulator.Faults{InstanceListLag: lag}))
		url := "http://" + s.Address() + "/v1/instances/entry%2F7"
		assertHTTP(t, http.MethodPut, url, `{"state":"leaving"}`, http.StatusOK)
		assertInstances(t, client, 0)
		clock.Advance(3 * time.Second)
		assertInstances(t, client, 1)
		assertHTTP(t, http.MethodDelete, url, "", http.StatusOK)
		assertInstances(t, client, 1)
		clock.Advance(3 * time.Second)
		assertInstances(t, client, 0)
	})
}

func start(t *testing.T) (*platformemulator.Server, *storer.Client) {
	t.Helper()
	return startWith(t, platformemulator.Config{})
}

func startWith(t *testing.T, cfg platformemulator.Config) (*platformemulator.Server, *storer.Client) {
	t.Helper()
	cfg.Address = "127.0.0.1:0"
	s, err := platformemulator.New(cfg)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := s.Start(ctx)
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
	return s, newClient(s, "entry-1")
}

func newClient(s *platformemulator.Server, id string) *storer.Client {
	return storer.NewClient(storer.ClientConfig{
		Address:     s.Address(),
		ClientID:    id,
		CallTimeout: callTimeout,
		Clock:       clockwork.NewRealClock(),
	})
}

func assertRecovers(t *testing.T, s *platformemulator.Server, client *storer.Client) {
	t.Helper()
	assert.NilError(t, s.SetFaults(platformemulator.Faults{}))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := client.List(t.Context(), ""); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithDelay(10*time.Millisecond))
}

func assertAbsent(t *testing.T, s *platformemulator.Server, key string) {
	t.Helper()
	_, err := s.Memory().Get(t.Context(), key)
	assert.ErrorIs(t, err, storer.ErrNotFound)
}

func assertInstances(t *testing.T, client *storer.Client, n int) {
	t.Helper()
	rows, err := client.ListInstances(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(rows), n)
}

func assertHTTP(t *testing.T, method, url, body string, status int) string {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	assert.NilError(t, err)
	w, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	data, err := io.ReadAll(w.Body)
	assert.NilError(t, err)
	assert.NilError(t, w.Body.Close())
	assert.Equal(t, w.StatusCode, status, string(data))
	return string(data)
}
