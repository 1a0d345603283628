package smallsystem

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/gravitational/trace"
)

// place is a zone and the region that it is in.
type place struct {
	zone   string
	region string
}

// places are the zones of a small system: three regions with one zone each, so that it bears the loss of any one of them.
var places = []place{
	{zone: "north-a", region: "north"},
	{zone: "south-b", region: "south"},
	{zone: "west-c", region: "west"},
}

// The ports, the same on all machines.
const (
	portInternal  = 7720
	portLast      = 7735
	portFront     = 8161
	portDirectory = 8165
	portControl   = 8166
	portReady     = 8167
	portEndpoint  = 8080
)

// The last bytes of the machines' addresses.
const (
	firstControl  = 11
	firstRelay    = 31
	firstEndpoint = 101
)

const (
	controlCount  = 3
	subnetTries   = 40
	subnetLowest  = 64 // of the second byte of an address
	subnetHighest = 254
)

// machine is one address with the process on it.
type machine struct {
	name string
	ip   string
	place
}

func (m machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// layout says which machine has which address.
type layout struct {
	subnet  string // its first three bytes
	control []machine
	relays  []machine
}

// newLayout finds addresses on which all ports are free.
func newLayout(relays int) (layout, error) {
	var failure error
	for range subnetTries {
		second := subnetLowest + rand.IntN(subnetHighest-subnetLowest)
		third := 1 + rand.IntN(subnetHighest)
		candidate := layoutAt(fmt.Sprintf("127.%d.%d", second, third), relays)
		if failure = candidate.probe(); failure == nil {
			return candidate, nil
		}
	}
	return layout{}, trace.Wrap(failure, "no free loopback addresses")
}

func layoutAt(subnet string, relays int) layout {
	l := layout{subnet: subnet}
	for i := range controlCount {
		l.control = append(l.control, l.machine("control", i, firstControl))
	}
	for i := range relays {
		l.relays = append(l.relays, l.machine("relay", i, firstRelay))
	}
	return l
}

// machine is number i of a kind, in the zone whose turn it is.
func (l layout) machine(kind string, i, first int) machine {
	return machine{
		name:  fmt.Sprintf("%s-%d", kind, i+1),
		ip:    fmt.Sprintf("%s.%d", l.subnet, first+i),
		place: places[i%len(places)],
	}
}

// seeds are the control addresses that every process is told.
func (l layout) seeds() []string {
	var seeds []string
	for _, machine := range l.control {
		seeds = append(seeds, machine.at(portControl))
	}
	return seeds
}

// probe tells whether all ports can be listened on.
func (l layout) probe() error {
	for _, machine := range l.control {
		if err := probePorts(machine, portInternal, portControl, portDirectory); err != nil {
			return err
		}
	}
	for _, machine := range l.relays {
		if err := probePorts(machine, portInternal, portFront, portReady); err != nil {
			return err
		}
	}
	return nil
}

func probePorts(machine machine, ports ...int) error {
	for _, port := range ports {
		listener, err := net.Listen("tcp4", machine.at(port))
		if err != nil {
			return err
		}
		listener.Close()
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(machine.at(portInternal))))
	if err != nil {
		return err
	}
	return socket.Close()
}
