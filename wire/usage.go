package wire

import (
	"google.golang.org/protobuf/proto"

	"cactustide/usage"
)

// UsageKey starts the keys of usage below the prefix.
const UsageKey = "/usage/"

// PutUsage writes a process's counters under its own key. They are cumulative,
// so that a lost answer or a repeated write changes nothing.
func PutUsage(put func(key string, value []byte) error, prefix, process string, lines []usage.Line) error {
	if len(lines) == 0 {
		return nil
	}
	data, err := proto.Marshal(UsageTo(process, lines))
	if err != nil {
		return &Error{Op: "encode usage", Kind: KindCodec, Err: err}
	}
	return put(prefix+UsageKey+process, data)
}

// UsageTo maps counters to a message.
func UsageTo(process string, lines []usage.Line) *Usage {
	m := &Usage{Process: process}
	for _, l := range lines {
		m.Counts = append(m.Counts, &Count{
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
	return m
}

// DecodeUsage decodes the counters of a process.
func DecodeUsage(data []byte) (string, []usage.Line, error) {
	var m Usage
	if err := proto.Unmarshal(data, &m); err != nil {
		return "", nil, &Error{Op: "decode usage", Kind: KindCodec, Err: err}
	}
	var lines []usage.Line
	for _, c := range m.GetCounts() {
		lines = append(lines, usage.Line{
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
