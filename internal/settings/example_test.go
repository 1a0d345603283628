package settings_test

import (
	"fmt"

	"wallflow/internal/settings"
)

func ExampleParse() {
	_, err := settings.Parse("settings.toml", []byte(`
node = "edge-1"
role = "proxy"
ip = "10.1.0.10"
zone = "hall-a"
region = "tema"
portRange = [7720, 7735]
seeds = ["10.1.0.13:8166"]
[bounds]
contactMs = "4s"
`))
	fmt.Println(err)
	// Output: settings.toml: bounds.contactMs: found "4s", want a number above 0, up to 1e9
}

func ExampleSettings_SeedInternalAddresses() {
	process := &settings.Settings{
		IP:        "10.1.0.10",
		PortRange: [2]int{7720, 7735},
		Seeds:     []string{"10.1.0.13:8166", "10.2.0.41:8166"},
	}
	fmt.Println(process.InternalAddress(), process.SeedInternalAddresses())
	// Output: 10.1.0.10:7720 [10.1.0.13:7720 10.2.0.41:7720]
}
