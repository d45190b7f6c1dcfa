package soak

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

// releases are the versions of the upstreams' software, which serve side by side.
var releases = []string{"v1", "v2"}

// releaseOf returns the version of an upstream. In one run of three all have the same.
func (r *runner) releaseOf(i int) string {
	if r.opts.Seed%3 == 0 {
		return releases[0]
	}
	return releases[i%len(releases)]
}

// maxTakeUps is the number of times that a caller takes a stream up.
const maxTakeUps = 2

// takeUp goes on with a stream that broke off, at another entry.
func (r *runner) takeUp(client *http.Client, entry int, begun exchange) {
	events := countEvents(begun)
	for n := 0; n < maxTakeUps && events > 0 && events < streamEvents && begun.status == http.StatusOK && !begun.complete; n++ {
		route := r.routes[begun.routeName]
		ctx, cancel := context.WithTimeout(context.Background(), route.Timeout+3*time.Second)
		at := (entry + n) % len(r.entries)
		if preferred := r.takeUpAt.Load(); preferred > 0 && n == 0 {
			at = int(preferred) - 1
		}
		next := r.sendOn(ctx, client, exchange{
			id: fmt.Sprintf("%s%02x", begun.id, n), entry: at, routeName: begun.routeName, resumes: begun.id, events: events,
		}, route)
		cancel()
		events += countEvents(next)
		if next.complete && next.status == http.StatusOK {
			return
		}
	}
}

// countEvents returns the number of whole events of a stream's response.
func countEvents(ex exchange) int {
	if ex.status != http.StatusOK {
		return 0
	}
	return strings.Count(ex.body, "\n\n")
}

// checkVersions checks that no stream holds events of two versions, in one response or over the
// tries of its caller.
func checkVersions(exchanges []exchange) (violations []Violation) {
	versions := map[string]map[string]bool{}
	for _, ex := range exchanges {
		id := ex.id
		if ex.resumes != "" {
			id = ex.resumes
		}
		if versions[id] == nil {
			versions[id] = map[string]bool{}
		}
		if ex.status == http.StatusOK {
			maps.Copy(versions[id], ex.versions)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(versions)) {
		if len(versions[id]) > 1 {
			violations = append(violations, Violation{Check: "joined", Text: fmt.Sprintf("stream %s holds events of %v", id, slices.Sorted(maps.Keys(versions[id])))})
		}
	}
	return violations
}
