package wire

import (
	"cactustide/setup"
)

// ParseSettings decodes settings from YAML. It does not apply defaults.
func ParseSettings(text []byte) (*setup.Settings, error) {
	var m Settings
	if err := decodeYAML("parse settings", text, &m); err != nil {
		return nil, err
	}
	var p durationParser
	s := &setup.Settings{
		Name:     m.GetName(),
		Centre:   m.GetCentre(),
		Listen:   m.GetListen(),
		Admin:    m.GetAdmin(),
		Peer:     m.GetPeer(),
		Platform: m.GetPlatform(),
		Prefix:   m.GetPrefix(),
		Token:    m.GetToken(),
		Operator: m.GetOperator(),
		Level:    m.GetLog().GetLevel(),
		Format:   m.GetLog().GetFormat(),
		Cert:     m.GetTls().GetCert(),
		Key:      m.GetTls().GetKey(),
		Body:     m.GetLimits().GetBody(),
		Answer:   m.GetLimits().GetAnswer(),
		Progress: p.parse("limits.progress", m.GetLimits().GetProgress()),
		Stop:     p.parse("limits.stop", m.GetLimits().GetStop()),
		Agents:   int(m.GetLimits().GetAgents()),
		Sync:     p.parse("limits.sync", m.GetLimits().GetSync()),
		Upstream: upstreamFromProto(m.GetUpstream()),
		Admins:   m.GetAdmins(),
	}
	for _, x := range m.GetPeers() {
		s.Peers = append(s.Peers, setup.Address{Name: x.GetName(), Listen: x.GetListen(), Peer: x.GetPeer()})
	}
	if len(p.violations) > 0 {
		return nil, &Error{Op: "parse settings", Kind: KindField, Violations: p.violations}
	}
	return s, nil
}

func upstreamFromProto(m *UpstreamSettings) setup.Upstream {
	return setup.Upstream{
		Kind:    m.GetKind(),
		Address: m.GetAddress(),
		Model:   m.GetModel(),
		Service: m.GetService(),
		Slots:   int(m.GetSlots()),
		Queue:   int(m.GetQueue()),
		Fence:   m.GetFence(),
	}
}
