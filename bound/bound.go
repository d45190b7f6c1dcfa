// Package bound keeps maps within a number of elements.
package bound

import (
	"slices"
	"time"
)

// DropOlder deletes the elements of a map whose time is at most the median, half of them or more.
// A map that is halved whenever it is full takes little work for each element on average.
func DropOlder[K comparable, V any](m map[K]V, timeOf func(V) time.Time) {
	if len(m) == 0 {
		return
	}
	times := make([]time.Time, 0, len(m))
	for _, v := range m {
		times = append(times, timeOf(v))
	}
	slices.SortFunc(times, time.Time.Compare)
	median := times[len(times)/2]
	for k, v := range m {
		if !timeOf(v).After(median) {
			delete(m, k)
		}
	}
}
