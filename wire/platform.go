package wire

import (
	"cactustide/claim"
	"cactustide/config"
	"cactustide/store"
	"cactustide/usage"
)

// Keys in the platform's service, relative to the configured prefix.
const (
	// DocumentKey holds the configuration document.
	DocumentKey = "/document"
	// UsagePrefix is the prefix of the keys of usage counters, one for each process.
	UsagePrefix = "/usage/"

	claimsPrefix = "/claims/"
)

// NewDocumentStore returns access to the configuration document in the platform's
// service.
func NewDocumentStore(c *store.Client, prefix string) config.Store {
	key := prefix + DocumentKey
	return config.Store{
		Read: func() (*config.Document, uint64, error) {
			pair, err := c.Get(key)
			if err != nil || pair.Version == 0 {
				return nil, 0, err
			}
			d, err := DecodeDocument(pair.Value)
			return d, pair.Version, err
		},
		Swap: func(d *config.Document, version uint64) (bool, error) {
			data, err := EncodeDocument(d)
			if err != nil {
				return false, err
			}
			return c.Swap(key, data, version)
		},
	}
}

// NewClaimStore returns access to the claims in the platform's service, one key for
// each.
func NewClaimStore(c *store.Client, prefix string) claim.Store {
	return claim.Store{
		Read: func(key string) (claim.Record, uint64, error) {
			pair, err := c.Get(prefix + claimsPrefix + key)
			if err != nil || pair.Version == 0 {
				return claim.Record{}, 0, err
			}
			r, err := DecodeClaim(pair.Value)
			return r, pair.Version, err
		},
		Swap: func(key string, r claim.Record, version uint64) (bool, error) {
			data, err := EncodeClaim(r)
			if err != nil {
				return false, err
			}
			return c.Swap(prefix+claimsPrefix+key, data, version)
		},
	}
}

// PutUsage writes the counters of a process under its own key. They are
// cumulative, so that a lost reply or a repeated write changes no total.
func PutUsage(c *store.Client, prefix, process string, counters []usage.Counter) error {
	if len(counters) == 0 {
		return nil
	}
	data, err := EncodeUsage(process, counters)
	if err != nil {
		return err
	}
	return c.Put(prefix+UsagePrefix+process, data)
}
