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

func declarationOf(a *Authenticator, workspaceOf map[string]string) declarer.Declaration {
	d := declarer.Declaration{}
	for key, workspace := range workspaceOf {
		d.Keys = append(d.Keys, declarer.Key{Name: "k-" + key, Workspace: workspace, Digest: a.Digest(key)})
	}
	return d
}

func assertLookup(t *testing.T, a *Authenticator, key string, want KeyStatus, workspace string) {
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
	// Guards against a key that is valid for another workspace or after its
	// withdrawal.
	t.Run("keys follow the declaration", func(t *testing.T) {
		a := newTestAuthenticator()
		assertLookup(t, a, "red", Unknown, "")
		a.Install(declarationOf(a, map[string]string{"red": "ljepilo", "blue": "vinarija"}))
		assertLookup(t, a, "red", Known, "ljepilo")
		assertLookup(t, a, "blue", Known, "vinarija")
		a.Install(declarationOf(a, map[string]string{"blue": "vinarija"}))
		assertLookup(t, a, "red", Withdrawn, "")
		a.Install(declarationOf(a, map[string]string{"red": "ljepilo"}))
		assertLookup(t, a, "red", Known, "ljepilo")
	})

	// Guards against workspace keys that are accepted as operator keys, and the
	// reverse.
	t.Run("operator keys are separate from workspace keys", func(t *testing.T) {
		a := newTestAuthenticator()
		a.Install(declarationOf(a, map[string]string{"red": "ljepilo"}))
		assert.Assert(t, a.IsOperatorKey("op-1") && a.IsOperatorKey("op-2"))
		assert.Assert(t, !a.IsOperatorKey("red") && !a.IsOperatorKey(""))
		assertLookup(t, a, "op-1", Unknown, "")
	})

	// Guards against requests that continue after their key is withdrawn, and
	// against cancelling the requests of other keys.
	t.Run("running requests of a withdrawn key are cancelled", func(t *testing.T) {
		a := newTestAuthenticator()
		a.Install(declarationOf(a, map[string]string{"red": "ljepilo", "blue": "ljepilo", "gold": "ljepilo"}))
		red, _ := a.Lookup("red")
		blue, _ := a.Lookup("blue")
		gold, _ := a.Lookup("gold")
		redCtx, _, ok := a.OpenSession(context.Background(), red)
		assert.Assert(t, ok)
		blueCtx, blueSession, ok := a.OpenSession(context.Background(), blue)
		assert.Assert(t, ok)
		goldCtx, _, _ := a.OpenSession(context.Background(), gold)

		a.Install(declarationOf(a, map[string]string{"blue": "ljepilo", "gold": "vinarija"}))
		assertWithdrawn(redCtx, t)
		assertWithdrawn(goldCtx, t)
		assert.NilError(t, blueCtx.Err())
		blueSession.Close()

		_, _, ok = a.OpenSession(context.Background(), red)
		assert.Assert(t, !ok, "a key that was withdrawn after the lookup opened a session")
	})

	// Guards against a request that is registered between lookup and withdrawal
	// and is never cancelled.
	t.Run("no session survives a withdrawal", func(t *testing.T) {
		a := newTestAuthenticator()
		a.Install(declarationOf(a, map[string]string{"red": "ljepilo"}))
		var wg sync.WaitGroup
		contexts := make([]context.Context, 32)
		for i := range contexts {
			wg.Go(func() {
				id, _ := a.Lookup("red")
				contexts[i], _, _ = a.OpenSession(context.Background(), id)
			})
		}
		a.Install(declarer.Declaration{})
		wg.Wait()
		for _, ctx := range contexts {
			assertWithdrawn(ctx, t)
		}
	})
}
