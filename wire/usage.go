package wire

import (
	"google.golang.org/protobuf/proto"

	"cactustide/usage"
)

// EncodeUsage encodes the counters of a process.
func EncodeUsage(process string, lines []usage.Counter) ([]byte, error) {
	m := &Usage{Process: process}
	for _, l := range lines {
		m.Counts = append(m.Counts, &UsageCount{
			Entry:    l.Entry,
			Partner:  l.Partner,
			Team:     l.Team,
			Class:    l.Class,
			Outcome:  string(l.Outcome),
			Requests: l.Requests,
			Tokens:   l.Tokens,
			Wasted:   l.Wasted,
			Attained: l.Attained,
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
	var lines []usage.Counter
	for _, c := range m.GetCounts() {
		lines = append(lines, usage.Counter{
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
	return m.GetProcess(), lines, nil
}
