package entry

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const limitShards = 16

type limitShard struct {
	mu      sync.Mutex
	running map[string]int
}

// limits counts the requests in progress of each team at this entry.
type limits struct {
	shards [limitShards]limitShard
}

func newLimits() *limits {
	l := &limits{}
	for i := range l.shards {
		l.shards[i].running = map[string]int{}
	}
	return l
}

func (l *limits) shard(key string) *limitShard {
	return &l.shards[xxhash.Sum64String(key)%limitShards]
}

// enter counts a request in, unless the team is at its limit. A limit of 0
// means none.
func (l *limits) enter(partner, team string, limit int) bool {
	key := partner + "\x00" + team
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit > 0 && s.running[key] >= limit {
		return false
	}
	s.running[key]++
	return true
}

func (l *limits) leave(partner, team string) {
	key := partner + "\x00" + team
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[key]--
	if s.running[key] == 0 {
		delete(s.running, key)
	}
}
