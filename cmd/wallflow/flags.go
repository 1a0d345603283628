package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/urfave/cli/v3"
)

// The flags of a command are local: they do not apply to its subcommands.

func stringFlag(to *string, name, value, usage string) *cli.StringFlag {
	return &cli.StringFlag{Name: name, Usage: usage, Value: value, Destination: to, Local: true}
}

func stringsFlag(to *[]string, name string, value []string, usage string) *cli.StringSliceFlag {
	return &cli.StringSliceFlag{Name: name, Usage: usage, Value: value, Destination: to, Local: true}
}

func boolFlag(to *bool, name, usage string) *cli.BoolFlag {
	return &cli.BoolFlag{Name: name, Usage: usage, Destination: to, Local: true}
}

func intFlag(to *int, name string, value int, usage string) *cli.IntFlag {
	return &cli.IntFlag{Name: name, Usage: usage, Value: value, Destination: to, Local: true}
}

func int64Flag(to *int64, name string, value int64, usage string) *cli.Int64Flag {
	return &cli.Int64Flag{Name: name, Usage: usage, Value: value, Destination: to, Local: true}
}

func uint64Flag(to *uint64, name string, value uint64, usage string) *cli.Uint64Flag {
	return &cli.Uint64Flag{Name: name, Usage: usage, Value: value, Destination: to, Local: true}
}

func floatFlag(to *float64, name string, value float64, usage string) *cli.FloatFlag {
	return &cli.FloatFlag{Name: name, Usage: usage, Value: value, Destination: to, Local: true}
}

func floatsFlag(to *[]float64, name, usage string) *cli.FloatSliceFlag {
	return &cli.FloatSliceFlag{Name: name, Usage: usage, Destination: to, Local: true}
}

func durationFlag(to *time.Duration, name string, value time.Duration, usage string) *cli.DurationFlag {
	return &cli.DurationFlag{Name: name, Usage: usage, Value: value, Destination: to, Local: true}
}

// loadDurationFlag is a flag for the duration of a load. It has error messages of its own instead of the library's.
func loadDurationFlag(to *time.Duration, name string, value time.Duration, usage string) *cli.GenericFlag {
	*to = value
	return &cli.GenericFlag{Name: name, Usage: usage, Value: &loadDurationValue{to}, Local: true}
}

// loadDurationValue is the value of a loadDurationFlag, from minLoadDuration to maxLoadDuration.
type loadDurationValue struct{ to *time.Duration }

// String returns the duration as text.
func (v *loadDurationValue) String() string {
	if v == nil || v.to == nil {
		return ""
	}
	return v.to.String()
}

// Get returns the duration.
func (v *loadDurationValue) Get() any { return *v.to }

// Set parses the duration.
func (v *loadDurationValue) Set(text string) error {
	d, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is not a duration: write a number with a unit, such as 10s", text)
	}
	if d < minLoadDuration || d > maxLoadDuration {
		return fmt.Errorf("%v: must be %v to %v", d, minLoadDuration, maxLoadDuration)
	}
	*v.to = d
	return nil
}

// required marks a flag as required.
func required(flag *cli.StringFlag) *cli.StringFlag {
	flag.Required = true
	return flag
}

func requiredInt(flag *cli.IntFlag) *cli.IntFlag {
	flag.Required = true
	return flag
}

// nonEmpty returns the non-empty values of a list, since a flag may be given an empty value.
func nonEmpty(values []string) []string {
	return slices.DeleteFunc(slices.Clone(values), func(value string) bool { return value == "" })
}
