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
		Name:             m.GetName(),
		Centre:           m.GetCentre(),
		Listen:           m.GetListen(),
		Admin:            m.GetAdmin(),
		Peer:             m.GetPeer(),
		Platform:         m.GetPlatform(),
		Prefix:           m.GetPrefix(),
		Token:            m.GetToken(),
		OperatorToken:    m.GetOperator(),
		LogLevel:         m.GetLog().GetLevel(),
		LogFormat:        m.GetLog().GetFormat(),
		CertFile:         m.GetTls().GetCert(),
		KeyFile:          m.GetTls().GetKey(),
		MaxBodyBytes:     m.GetLimits().GetBody(),
		MaxResponseBytes: m.GetLimits().GetAnswer(),
		ProgressTimeout:  p.parse("limits.progress", m.GetLimits().GetProgress()),
		StopTimeout:      p.parse("limits.stop", m.GetLimits().GetStop()),
		MaxAgents:        int(m.GetLimits().GetAgents()),
		SyncInterval:     p.parse("limits.sync", m.GetLimits().GetSync()),
		Upstream:         upstreamFromProto(m.GetUpstream()),
		AdminAddresses:   m.GetAdmins(),
	}
	for _, x := range m.GetPeers() {
		s.StaticAgents = append(s.StaticAgents, setup.AgentAddress{Name: x.GetName(), Listen: x.GetListen(), Peer: x.GetPeer()})
	}
	if len(p.violations) > 0 {
		return nil, &Error{Op: "parse settings", Kind: KindField, Violations: p.violations}
	}
	return s, nil
}

func upstreamFromProto(m *UpstreamSettings) setup.Upstream {
	return setup.Upstream{
		Kind:            m.GetKind(),
		Address:         m.GetAddress(),
		Model:           m.GetModel(),
		Service:         m.GetService(),
		Slots:           int(m.GetSlots()),
		QueueLimit:      int(m.GetQueue()),
		SupportsFencing: m.GetFence(),
	}
}
