package authenticator

import (
	"context"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

func newTestAuthenticator() *Authenticator {
	plain := New(Config{Pepper: []byte("pepper")})
	return New(Config{Pepper: []byte("pepper"), OperatorDigests: []string{plain.Digest("op-1"), plain.Digest("op-2")}})
}

func keys(a *Authenticator, workspaceOf map[string]string) declarer.Declaration {
	d := declarer.Declaration{}
	for key, workspace := range workspaceOf {
		d.Keys = append(d.Keys, declarer.Key{Name: "k-" + key, Workspace: workspace, Digest: a.Digest(key)})
	}
	return d
}

func assertVerdict(t *testing.T, a *Authenticator, key string, want KeyStatus, workspace string) {
	t.Helper()
	id, keyStatus := a.Lookup(key)
	assert.Equal(t, keyStatus, want)
	assert.Equal(t, id.Workspace, workspace)
}

func assertWithdrawn(ctx context.Context, t *testing.T) {
	t.Helper()
	var refusal *refuser.Refusal
	assert.Assert(t, ctx.Err() != nil)
	assert.ErrorType(t, context.Cause(ctx), refusal)
}

func TestAuthenticator(t *testing.T) {
	// Guards against a key that acts for another workspace or after its
	// withdrawal.
	t.Run("keys follow the declaration", func(t *testing.T) {
		a := newTestAuthenticator()
		assertVerdict(t, a, "red", Unknown, "")
		a.Install(keys(a, map[string]string{"red": "ljepilo", "blue": "vinarija"}))
		assertVerdict(t, a, "red", Known, "ljepilo")
		assertVerdict(t, a, "blue", Known, "vinarija")
		a.Install(keys(a, map[string]string{"blue": "vinarija"}))
		assertVerdict(t, a, "red", Withdrawn, "")
		a.Install(keys(a, map[string]string{"red": "ljepilo"}))
		assertVerdict(t, a, "red", Known, "ljepilo")
	})

	// Guards against workspace keys that operate the system.
	t.Run("operators are kept apart", func(t *testing.T) {
		a := newTestAuthenticator()
		a.Install(keys(a, map[string]string{"red": "ljepilo"}))
		assert.Assert(t, a.IsOperatorKey("op-1") && a.IsOperatorKey("op-2"))
		assert.Assert(t, !a.IsOperatorKey("red") && !a.IsOperatorKey(""))
		assertVerdict(t, a, "op-1", Unknown, "")
	})

	// Guards against a stream that goes on for a caller whose key is gone, and
	// against streams of other keys that end with it.
	t.Run("running requests of a withdrawn key end", func(t *testing.T) {
		a := newTestAuthenticator()
		a.Install(keys(a, map[string]string{"red": "ljepilo", "blue": "ljepilo", "gold": "ljepilo"}))
		red, _ := a.Lookup("red")
		blue, _ := a.Lookup("blue")
		gold, _ := a.Lookup("gold")
		redCtx, _, ok := a.Open(context.Background(), red)
		assert.Assert(t, ok)
		blueCtx, blueSession, ok := a.Open(context.Background(), blue)
		assert.Assert(t, ok)
		goldCtx, _, _ := a.Open(context.Background(), gold)

		a.Install(keys(a, map[string]string{"blue": "ljepilo", "gold": "vinarija"}))
		assertWithdrawn(redCtx, t)
		assertWithdrawn(goldCtx, t)
		assert.NilError(t, blueCtx.Err())
		blueSession.Close()

		_, _, ok = a.Open(context.Background(), red)
		assert.Assert(t, !ok, "a key that was withdrawn after the lookup opened a session")
	})

	// Guards against a request that slips between lookup and withdrawal and
	// then runs for ever.
	t.Run("no session survives a withdrawal", func(t *testing.T) {
		a := newTestAuthenticator()
		a.Install(keys(a, map[string]string{"red": "ljepilo"}))
		var wg sync.WaitGroup
		contexts := make([]context.Context, 32)
		for i := range contexts {
			wg.Go(func() {
				id, _ := a.Lookup("red")
				contexts[i], _, _ = a.Open(context.Background(), id)
			})
		}
		a.Install(declarer.Declaration{})
		wg.Wait()
		for _, ctx := range contexts {
			assertWithdrawn(ctx, t)
		}
	})
}
