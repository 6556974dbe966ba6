package routefinder

import (
	"testing"

	"gotest.tools/v3/assert"
)

func testPolicy(version int64) Policy {
	return Policy{
		Version: version,
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Targets: []Target{{Service: "s1", Weight: 1}}},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Targets: []Target{{Service: "s2", Weight: 1}}},
			{Name: "other", Host: "b.example", Prefix: "/", Targets: []Target{{Service: "s3"}}},
		},
		Workspaces: []Workspace{{Name: "w1", Keys: []string{"k1", "k2"}}},
	}
}

func assertRoute(t *testing.T, host, path, want string) {
	t.Helper()
	r, ok := NewTable(testPolicy(1)).Route(host, path)
	if want == "" {
		assert.Assert(t, !ok, "a route was found")
		return
	}
	assert.Assert(t, ok, "no route was found")
	assert.Equal(t, r.Name, want)
}

// TestRoute guards against requests that are sent to the service of another route.
func TestRoute(t *testing.T) {
	t.Run("the longest prefix wins", func(t *testing.T) { assertRoute(t, "a.example", "/x/y/z", "long") })
	t.Run("only the shorter prefix matches", func(t *testing.T) { assertRoute(t, "a.example", "/x/z", "short") })
	t.Run("no prefix matches", func(t *testing.T) { assertRoute(t, "a.example", "/x", "") })
	t.Run("unknown host", func(t *testing.T) { assertRoute(t, "c.example", "/x/y/z", "") })
	t.Run("host in mixed case with port", func(t *testing.T) { assertRoute(t, "B.Example:80", "/q", "other") })
}

// TestWorkspaceByKey guards against keys that give access to another workspace.
func TestWorkspaceByKey(t *testing.T) {
	table := NewTable(testPolicy(1))
	t.Run("the second key of a workspace", func(t *testing.T) {
		w, ok := table.WorkspaceByKey("k2")
		assert.Assert(t, ok)
		assert.Equal(t, w.Name, "w1")
	})
	t.Run("an unknown key", func(t *testing.T) {
		_, ok := table.WorkspaceByKey("k3")
		assert.Assert(t, !ok)
	})
	t.Run("an empty key", func(t *testing.T) {
		_, ok := table.WorkspaceByKey("")
		assert.Assert(t, !ok)
	})
}

func assertInstalled(t *testing.T, f *Finder, version int64, want bool) {
	t.Helper()
	assert.Equal(t, f.Install(testPolicy(version)), want)
}

// TestInstall guards against a policy that is replaced by an older version.
func TestInstall(t *testing.T) {
	f := &Finder{}
	assert.Assert(t, f.Table() == nil)
	assertInstalled(t, f, 5, true)
	assertInstalled(t, f, 4, false)
	assertInstalled(t, f, 5, false)
	assert.Equal(t, f.Table().Policy.Version, int64(5))
	assertInstalled(t, f, 9, true)
}

// TestChooseService guards against services with zero weight that receive requests.
func TestChooseService(t *testing.T) {
	r := Route{Targets: []Target{{Service: "a", Weight: 0}, {Service: "b", Weight: 3}}}
	for range 100 {
		assert.Equal(t, r.ChooseService(), "b")
	}
	assert.Assert(t, r.LeadsTo("b") && !r.LeadsTo("a") && !r.LeadsTo("c"))
	unweighted := Route{Targets: []Target{{Service: "a"}, {Service: "b"}}}
	assert.Equal(t, unweighted.ChooseService(), "a")
	assert.Assert(t, unweighted.LeadsTo("a") && !unweighted.LeadsTo("b"))
	empty := Route{}
	assert.Equal(t, empty.ChooseService(), "")
}
