package wire

import (
	"google.golang.org/protobuf/proto"

	"cactustide/usage"
)

// EncodeUsage encodes the counters of a process.
func EncodeUsage(process string, counters []usage.Counter) ([]byte, error) {
	m := &Usage{Process: process}
	for _, c := range counters {
		m.Counts = append(m.Counts, &UsageCount{
			Entry:    c.Entry,
			Partner:  c.Partner,
			Team:     c.Team,
			Class:    c.Class,
			Outcome:  string(c.Outcome),
			Requests: c.Requests,
			Tokens:   c.Tokens,
			Wasted:   c.Wasted,
			Attained: c.Attained,
		})
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, &Error{Op: "encode usage", Kind: KindCodec, Err: err}
	}
	return data, nil
}

// DecodeUsage decodes the counters of a process.
func DecodeUsage(data []byte) (string, []usage.Counter, error) {
	var m Usage
	if err := proto.Unmarshal(data, &m); err != nil {
		return "", nil, &Error{Op: "decode usage", Kind: KindCodec, Err: err}
	}
	var counters []usage.Counter
	for _, c := range m.GetCounts() {
		counters = append(counters, usage.Counter{
			Key: usage.Key{
				Entry:   c.GetEntry(),
				Partner: c.GetPartner(),
				Team:    c.GetTeam(),
				Class:   c.GetClass(),
				Outcome: usage.Outcome(c.GetOutcome()),
			},
			Count: usage.Count{
				Requests: c.GetRequests(),
				Tokens:   c.GetTokens(),
				Wasted:   c.GetWasted(),
				Attained: c.GetAttained(),
			},
		})
	}
	return m.GetProcess(), counters, nil
}
