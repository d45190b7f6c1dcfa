// Package wire holds the protobuf schema of messages, settings and the
// configuration document, the code generated from it, and the conversions to the
// types of the other packages.
package wire

import (
	"bufio"
	"io"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"cactustide/claim"
	"cactustide/config"
	"cactustide/retry"
	"cactustide/route"
)

// maxFrameBytes is the size limit of a frame from an agent.
const maxFrameBytes = 64 << 20

// WriteFrame writes a length-delimited frame.
func WriteFrame(w io.Writer, f *Frame) error {
	_, err := protodelim.MarshalTo(w, f)
	return err
}

// ReadFrame reads a length-delimited frame into f. It fails for frames larger
// than maxFrameBytes.
func ReadFrame(r *bufio.Reader, f *Frame) error {
	return protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}.UnmarshalFrom(r, f)
}

// AgentFromProto converts an agent's state to the type of package route.
func AgentFromProto(m *AgentState) route.Agent {
	a := route.Agent{
		Name:         m.GetName(),
		Incarnation:  m.GetIncarnation(),
		Centre:       m.GetCentre(),
		Model:        m.GetModel(),
		Service:      m.GetService(),
		Slots:        int(m.GetSlots()),
		Running:      int(m.GetRunning()),
		QueueSpace:   int(m.GetRoom()),
		Draining:     m.GetDrain(),
		Healthy:      m.GetHealthy(),
		TimePerToken: time.Duration(m.GetPace()) * time.Microsecond,
	}
	for tier, n := range m.GetQueued() {
		if tier < config.Tiers {
			a.Queued[tier] = int(n)
		}
	}
	return a
}

// CrashRecordsFromProto converts crash records to the type of package retry.
func CrashRecordsFromProto(now time.Time, records []*CrashRecord) []retry.CrashRecord {
	out := make([]retry.CrashRecord, 0, len(records))
	for _, r := range records {
		out = append(out, retry.CrashRecord{
			Fingerprint: r.GetPrint(),
			Upstream:    r.GetUpstream(),
			Expires:     now.Add(time.Duration(r.GetLeft()) * time.Millisecond),
		})
	}
	return out
}

// CrashRecordsToProto converts crash records to messages. The expiry is sent as
// the remaining time, because the clocks of hosts differ.
func CrashRecordsToProto(now time.Time, records []retry.CrashRecord) []*CrashRecord {
	out := make([]*CrashRecord, 0, len(records))
	for _, r := range records {
		out = append(out, &CrashRecord{
			Print:    r.Fingerprint,
			Upstream: r.Upstream,
			Left:     r.Expires.Sub(now).Milliseconds(),
		})
	}
	return out
}

// EncodeClaim encodes a claim record for the platform's service.
func EncodeClaim(r claim.Record) ([]byte, error) {
	return proto.Marshal(&Claim{
		Run:    r.RunID,
		Phase:  string(r.Phase),
		Print:  r.Fingerprint,
		Agent:  r.Agent,
		Status: int32(r.Status),
		Type:   r.ContentType,
		Body:   r.Body,
		Cut:    r.BodyOmitted,
	})
}

// DecodeClaim decodes the result of EncodeClaim.
func DecodeClaim(data []byte) (claim.Record, error) {
	var m Claim
	if err := proto.Unmarshal(data, &m); err != nil {
		return claim.Record{}, &Error{Op: "decode claim", Kind: KindCodec, Err: err}
	}
	return claim.Record{
		RunID:       m.GetRun(),
		Phase:       claim.Phase(m.GetPhase()),
		Fingerprint: m.GetPrint(),
		Agent:       m.GetAgent(),
		Status:      int(m.GetStatus()),
		ContentType: m.GetType(),
		Body:        m.GetBody(),
		BodyOmitted: m.GetCut(),
	}, nil
}
