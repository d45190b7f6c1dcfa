package direct_test

import (
	"context"
	"net/http"
	"testing"

	"cactustide/platform/stand"
)

// TestLastTeamRemoved guards against requests that run without a valid key after the last
// team was removed: every entry must refuse them with 401, as with other teams left.
func TestLastTeamRemoved(t *testing.T) {
	s := newStack(t, 2)
	status := func(e *testEntry, path, key string) int {
		return s.send(context.Background(), e, callerRequest{path: path, key: key, body: "x"}).status
	}
	for i, keys := range []map[string][]string{{"team-one": {}}, {}} {
		version := uint64(2 + i)
		s.store.Put("op/config", stand.EncodeConfig(version, testRoutes, []string{"desk"}, keys))
		for _, e := range s.entries {
			waitFor(t, "the version", func() bool { return s.hasVersion(e, version) })
			for _, key := range []string{testKey, "never-in-force", ""} {
				if got := status(e, "/book/a", key); got != http.StatusUnauthorized {
					t.Errorf("version %d, key %q: got status %d, want 401", version, key, got)
				}
			}
			if got := status(e, "/open/a", ""); got != http.StatusOK {
				t.Errorf("version %d: got status %d on a public route, want 200", version, got)
			}
		}
	}
}
