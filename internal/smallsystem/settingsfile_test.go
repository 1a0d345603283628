package smallsystem

import (
	"testing"

	"gotest.tools/v3/assert"

	"wallflow/internal/config"
	"wallflow/internal/settings"
)

func TestTheSettingsFilesAreTakenByTheProcesses(t *testing.T) {
	l := layoutAt("127.70.1", 4)
	path, err := l.controlSettings(l.control[1], "/store").write(t.TempDir())
	assert.NilError(t, err)
	control, err := settings.Load(path)
	assert.NilError(t, err)
	assert.Equal(t, control.Node, "control-2")
	assert.Equal(t, control.Listen, settings.Listen{Control: "127.70.1.12:8166", Directory: "127.70.1.12:8165"})
	assert.Equal(t, control.DataDir, "/store")
	assert.Assert(t, control.Bootstrap && control.CountsForQuorum)
	assert.DeepEqual(t, control.SeedInternalAddresses(), []string{"127.70.1.11:7720", "127.70.1.12:7720", "127.70.1.13:7720"})

	path, err = l.relaySettings(l.relays[3]).write(t.TempDir())
	assert.NilError(t, err)
	relay, err := settings.Load(path)
	assert.NilError(t, err)
	assert.Equal(t, relay.Node, "relay-4")
	assert.Equal(t, relay.Region, "north", "the fourth relay is in the first zone again")
	assert.Equal(t, relay.Listen, settings.Listen{Front: "127.70.1.34:8161", Ready: "127.70.1.34:8167"})
	assert.Assert(t, !relay.CountsForQuorum && relay.DataDir == "")
}

func TestTheFirstConfigurationIsValid(t *testing.T) {
	text, err := firstConfiguration()
	assert.NilError(t, err)
	document, err := config.Parse(text)
	assert.NilError(t, err)
	compiled := config.Compile(document)
	for path, service := range map[string]string{"/chat/1": serviceModel, "/confirm/1": serviceRegister} {
		route, found := compiled.Route(host, path)
		assert.Assert(t, found)
		assert.Equal(t, route.Backend, service)
	}
}

func TestAddressesThatAreTakenAreNotUsed(t *testing.T) {
	first, err := newLayout(1)
	assert.NilError(t, err)
	assert.NilError(t, first.probe(), "a probe leaves nothing behind")
	assert.NilError(t, probePorts(first.control[0], portControl))
	listener := listen(t, first.control[0].at(portControl))
	defer listener.Close()
	assert.Assert(t, first.probe() != nil)
}
