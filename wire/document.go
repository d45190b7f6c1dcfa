package wire

import (
	"fmt"
	"regexp"
	"strconv"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"sigs.k8s.io/yaml"

	"cactustide/config"
)

// ErrorKind classifies the errors of this package.
type ErrorKind string

// Kinds of errors.
const (
	KindSyntax ErrorKind = "syntax" // Not YAML, or an unknown key.
	KindField  ErrorKind = "field"  // A field has an invalid value.
	KindCodec  ErrorKind = "codec"  // A message could not be decoded.
)

// Error is the type of all errors of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	// Violations holds one entry for each invalid field.
	Violations []config.Violation
	Err        error
}

// Error returns the operation, the kind, the cause and the violations as one line.
func (e *Error) Error() string {
	text := "wire: " + e.Op + ": " + string(e.Kind)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	for _, v := range e.Violations {
		text += "; " + v.String()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// decodeYAML decodes YAML into a message and rejects unknown keys.
func decodeYAML(op string, text []byte, into proto.Message) error {
	data, err := yaml.YAMLToJSONStrict(text)
	if err != nil {
		return &Error{Op: op, Kind: KindSyntax, Err: err}
	}
	if err := protojson.Unmarshal(data, into); err != nil {
		return &Error{Op: op, Kind: KindSyntax, Err: errs.New("at key %q: %v", keyAt(data, err), err)}
	}
	return nil
}

var (
	errorColumn = regexp.MustCompile(`\(line 1:(\d+)\)`)
	jsonKey     = regexp.MustCompile(`"(\w+)":`)
)

// keyAt returns the last key before the column that err names, or "". The JSON
// converted from YAML is a single line, so that its column alone would not help an
// operator.
func keyAt(data []byte, err error) string {
	match := errorColumn.FindStringSubmatch(err.Error())
	if match == nil {
		return ""
	}
	column, _ := strconv.Atoi(match[1])
	keys := jsonKey.FindAllSubmatch(data[:min(len(data), column)], -1)
	if len(keys) == 0 {
		return ""
	}
	return string(keys[len(keys)-1][1])
}

// ParseDocument decodes a configuration document from YAML.
func ParseDocument(text []byte) (*config.Document, error) {
	var m Document
	if err := decodeYAML("parse document", text, &m); err != nil {
		return nil, err
	}
	return documentFromProto("parse document", &m)
}

// FormatDocument encodes a configuration document as YAML.
func FormatDocument(d *config.Document) ([]byte, error) {
	data, err := protojson.Marshal(documentToProto(d))
	if err != nil {
		return nil, &Error{Op: "format document", Kind: KindCodec, Err: err}
	}
	return yaml.JSONToYAML(data)
}

// EncodeDocument encodes a configuration document for storage in the platform's
// service and for transfer between processes.
func EncodeDocument(d *config.Document) ([]byte, error) {
	return proto.Marshal(documentToProto(d))
}

// DecodeDocument decodes the result of EncodeDocument.
func DecodeDocument(data []byte) (*config.Document, error) {
	var m Document
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, &Error{Op: "decode document", Kind: KindCodec, Err: err}
	}
	return documentFromProto("decode document", &m)
}

// durationParser parses duration fields and collects the invalid ones.
type durationParser struct {
	violations []config.Violation
}

func (p *durationParser) parse(key, text string) time.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		p.violations = append(p.violations, config.Violation{
			Key:     key,
			Message: fmt.Sprintf("%q is not a duration such as 850ms or 30s", text),
		})
	}
	return d
}

func documentFromProto(op string, m *Document) (*config.Document, error) {
	var p durationParser
	d := &config.Document{
		Generation: m.GetGeneration(),
		Change:     m.GetChange(),
		Author:     m.GetAuthor(),
		Preset:     m.GetPreset(),
		Drains:     m.GetDrains(),
	}
	for _, x := range m.GetPresets() {
		d.Presets = append(d.Presets, presetFromProto(x))
	}
	for i, x := range m.GetClasses() {
		d.Classes = append(d.Classes, classFromProto(&p, fmt.Sprintf("classes[%d]", i), x))
	}
	for _, x := range m.GetPartners() {
		d.Partners = append(d.Partners, partnerFromProto(x))
	}
	for _, x := range m.GetServices() {
		s := config.Service{Name: x.GetName()}
		for _, r := range x.GetOnce() {
			s.Once = append(s.Once, config.CallMatcher{Method: r.GetMethod(), Path: r.GetPath()})
		}
		d.Services = append(d.Services, s)
	}
	if len(p.violations) > 0 {
		return nil, &Error{Op: op, Kind: KindField, Violations: p.violations}
	}
	return d, nil
}

func presetFromProto(m *Preset) config.Preset {
	p := config.Preset{Name: m.GetName()}
	for _, s := range m.GetShares() {
		p.Shares = append(p.Shares, config.Share{Partner: s.GetPartner(), Share: s.GetShare()})
	}
	for _, t := range m.GetTunes() {
		p.Tunes = append(p.Tunes, config.ClassOverride{Class: t.GetClass(), Floor: t.GetFloor(), Cap: t.GetCap()})
	}
	return p
}

func classFromProto(p *durationParser, key string, m *Class) config.Class {
	return config.Class{
		Name:      m.GetName(),
		Tier:      int(m.GetTier()),
		Target:    p.parse(key+".target", m.GetTarget()),
		Pace:      p.parse(key+".pace", m.GetPace()),
		Wait:      p.parse(key+".wait", m.GetWait()),
		Objective: m.GetObjective(),
		Floor:     m.GetFloor(),
		Cap:       m.GetCap(),
		Tokens:    int(m.GetTokens()),
	}
}

func partnerFromProto(m *Partner) config.Partner {
	p := config.Partner{Name: m.GetName(), Share: m.GetShare()}
	for _, t := range m.GetTeams() {
		p.Teams = append(p.Teams, config.Team{
			Name:    t.GetName(),
			Class:   t.GetClass(),
			Classes: t.GetClasses(),
			Keys:    t.GetKeys(),
			Limit:   int(t.GetLimit()),
		})
	}
	return p
}

func documentToProto(d *config.Document) *Document {
	m := &Document{
		Generation: d.Generation,
		Change:     d.Change,
		Author:     d.Author,
		Preset:     d.Preset,
		Drains:     d.Drains,
	}
	for _, x := range d.Presets {
		m.Presets = append(m.Presets, presetToProto(x))
	}
	for _, x := range d.Classes {
		m.Classes = append(m.Classes, classToProto(x))
	}
	for _, x := range d.Partners {
		m.Partners = append(m.Partners, partnerToProto(x))
	}
	for _, x := range d.Services {
		s := &Service{Name: x.Name}
		for _, r := range x.Once {
			s.Once = append(s.Once, &CallMatcher{Method: r.Method, Path: r.Path})
		}
		m.Services = append(m.Services, s)
	}
	return m
}

func presetToProto(p config.Preset) *Preset {
	m := &Preset{Name: p.Name}
	for _, s := range p.Shares {
		m.Shares = append(m.Shares, &Share{Partner: s.Partner, Share: s.Share})
	}
	for _, t := range p.Tunes {
		m.Tunes = append(m.Tunes, &ClassOverride{Class: t.Class, Floor: t.Floor, Cap: t.Cap})
	}
	return m
}

func classToProto(c config.Class) *Class {
	return &Class{
		Name:      c.Name,
		Tier:      int32(c.Tier),
		Target:    c.Target.String(),
		Pace:      c.Pace.String(),
		Wait:      c.Wait.String(),
		Objective: c.Objective,
		Floor:     c.Floor,
		Cap:       c.Cap,
		Tokens:    int32(c.Tokens),
	}
}

func partnerToProto(p config.Partner) *Partner {
	m := &Partner{Name: p.Name, Share: p.Share}
	for _, t := range p.Teams {
		m.Teams = append(m.Teams, &Team{
			Name:    t.Name,
			Class:   t.Class,
			Classes: t.Classes,
			Keys:    t.Keys,
			Limit:   int32(t.Limit),
		})
	}
	return m
}
