package smallsystem

import (
	"encoding/json"

	"github.com/gravitational/trace"

	"wallflow/internal/config"
	"wallflow/internal/emulator"
)

// The services and routes of a small system.
const (
	host            = "small.example"
	serviceModel    = "assistant"
	serviceRegister = "register"
	prefixChat      = "/chat/"
	prefixConfirm   = "/confirm/"
	healthPath      = "/healthz"
	modelName       = "m"
	modelConns      = 360
	registerConns   = 96
	chatPriority    = 0
	confirmPriority = 1
)

// The times of the routes, in milliseconds.
const (
	chatTimeoutMs    = 8000
	chatTargetMs     = 1200
	chatGapMs        = 800
	confirmTimeoutMs = 3000
	confirmTargetMs  = 300
)

// firstConfiguration is what the operator puts first.
func firstConfiguration() ([]byte, error) {
	engine := emulator.DefaultEngine()
	document := config.Document{
		Generation: 1,
		Routes: []config.Route{
			{
				Name: "chat", Host: host, PathPrefix: prefixChat, Kind: config.KindStreaming, Backend: serviceModel,
				TimeoutMs: chatTimeoutMs, TargetMs: chatTargetMs, TargetEventGapMs: chatGapMs, Priority: chatPriority,
				Retries: 2, Sticky: true, Resume: true, HomeRegions: []string{},
			},
			{
				Name: "confirm", Host: host, PathPrefix: prefixConfirm, Kind: config.KindUnsafe, Backend: serviceRegister,
				TimeoutMs: confirmTimeoutMs, TargetMs: confirmTargetMs, Priority: confirmPriority,
				Retries: 1, HomeRegions: []string{},
			},
		},
		Backends: []config.Backend{
			{
				Name: serviceModel, HealthPath: healthPath, MaxConns: modelConns, Protocol: "h1",
				Engine: &config.Engine{
					Slots:      engine.Slots,
					KVCapacity: int64(engine.KVCapacity),
					Stride:     engine.TokensPerEvent,
					Models:     []config.Model{{Name: modelName}},
				},
			},
			{Name: serviceRegister, HealthPath: healthPath, MaxConns: registerConns, Protocol: "h1"},
		},
		Limits: config.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
	text, err := json.MarshalIndent(document, "", "  ")
	return text, trace.Wrap(err)
}
