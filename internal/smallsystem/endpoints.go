package smallsystem

import (
	"fmt"
	"log/slog"
	"time"

	"wallflow/internal/emulator"
)

const (
	enginesPerZone = 2
	registerWork   = 30 * time.Millisecond
	registerAnswer = 800
)

// service is one kind of stand-in endpoint, and how many there are in a zone.
type service struct {
	name    string
	perZone int
	options emulator.Options
}

func services() []service {
	engine := emulator.DefaultEngine()
	return []service{
		{name: serviceModel, perZone: enginesPerZone, options: emulator.Options{Engine: &engine, Model: modelName, MaxConns: modelConns}},
		{name: serviceRegister, perZone: 1, options: emulator.Options{ServiceTime: registerWork, ResponseBytes: registerAnswer, MaxConns: registerConns}},
	}
}

// openEndpoints starts the stand-in endpoints, which tell the control processes of themselves.
func (l layout) openEndpoints(log *slog.Logger) (endpoints []*emulator.Endpoint, err error) {
	for _, service := range services() {
		for i := range service.perZone * len(places) {
			options := service.options
			options.ID = fmt.Sprintf("%s-%d", service.name, i+1)
			options.Backend = service.name
			options.Listen = fmt.Sprintf("%s.%d:%d", l.subnet, firstEndpoint+len(endpoints), portEndpoint)
			options.Zone = places[i%len(places)].zone
			options.HealthPath = healthPath
			options.ControlAddresses = l.seeds()
			options.HeartbeatInterval = heartbeatMs * time.Millisecond
			options.Log = log
			endpoint, err := emulator.Start(options)
			if err != nil {
				return endpoints, err
			}
			endpoints = append(endpoints, endpoint)
		}
	}
	return endpoints, nil
}
