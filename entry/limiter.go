package entry

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const limiterShardCount = 16

type limiterShard struct {
	mu       sync.Mutex
	inFlight map[string]int
}

// teamLimiter bounds the requests in progress of each team at this entry.
type teamLimiter struct {
	shards [limiterShardCount]limiterShard
}

func newTeamLimiter() *teamLimiter {
	l := &teamLimiter{}
	for i := range l.shards {
		l.shards[i].inFlight = map[string]int{}
	}
	return l
}

func (l *teamLimiter) shard(key string) *limiterShard {
	return &l.shards[xxhash.Sum64String(key)%limiterShardCount]
}

// acquire counts a request and returns true, unless the team has reached its limit.
// A limit of 0 means none.
func (l *teamLimiter) acquire(partner, team string, limit int) bool {
	key := partner + "\x00" + team
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit > 0 && s.inFlight[key] >= limit {
		return false
	}
	s.inFlight[key]++
	return true
}

func (l *teamLimiter) release(partner, team string) {
	key := partner + "\x00" + team
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[key]--
	if s.inFlight[key] == 0 {
		delete(s.inFlight, key)
	}
}
