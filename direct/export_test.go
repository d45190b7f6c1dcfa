package direct

import (
	"time"

	"cactustide/wire"
)

// DropGossip drops the messages of peers while cut returns true. It must be called before Start.
func (e *Entry) DropGossip(cut func() bool) {
	next := e.gossiper.OnGossip
	e.gossiper.OnGossip = func(now time.Time, msg *wire.Gossip) {
		if !cut() {
			next(now, msg)
		}
	}
}
