package agent

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"strconv"
	"time"

	"cactustide/store"
)

// claimKey hashes partner and key, so that no caller's text gets into a URL path.
func claimKey(partner, key string) string {
	sum := sha256.Sum256([]byte(partner + "\x00" + key))
	return hex.EncodeToString(sum[:])
}

// newRunID returns an id that no other run has. The request's id alone would not
// do: an entry may send the same request to two agents.
func newRunID(job, agent string) string {
	return job + "/" + agent + "/" + strconv.FormatUint(rand.Uint64(), 36)
}

// acquireIncarnation gets the agent's incarnation number: one greater than that of
// the last process in front of this upstream. It is written once at the start and
// never renewed. Until then calls that must run at most once are refused.
func (a *Agent) acquireIncarnation(ctx context.Context) error {
	for {
		incarnation, err := nextIncarnation(a.platform, a.settings.Prefix+"/agents/"+a.settings.Name)
		if err == nil {
			a.incarnation.Store(incarnation)
			a.log.Infof("acquired incarnation %d", incarnation)
			return nil
		}
		a.log.Warnf("acquiring an incarnation failed: %v", err)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(incarnationRetryDelay):
		}
	}
}

// nextIncarnation increments a counter by compare-and-swap and returns the new
// value. After an error the caller increments it again, so that a write whose
// reply was lost cannot give two processes the same number.
func nextIncarnation(c *store.Client, key string) (uint64, error) {
	for {
		pair, err := c.Get(key)
		if err != nil {
			return 0, &Error{Op: "read incarnation", Kind: KindPlatform, Err: err}
		}
		last, _ := strconv.ParseUint(string(pair.Value), 10, 64)
		next := last + 1
		ok, err := c.Swap(key, []byte(strconv.FormatUint(next, 10)), pair.Version)
		if err != nil {
			return 0, &Error{Op: "write incarnation", Kind: KindPlatform, Err: err}
		}
		if ok {
			return next, nil
		}
	}
}
