// Package units provides the quantities used in configuration files. A quantity is always written as a number with its unit, so that
// a file is unambiguous and a number without a unit is rejected.
//
// Each type is a struct, so that a bare number in a file cannot be decoded into it.
package units

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Error describes a text that is not a valid quantity of its type.
type Error struct{ Text, Why string }

func (e *Error) Error() string { return fmt.Sprintf("%q is %s", e.Text, e.Why) }

// Duration is a duration, written as 250ms, 1.5s or 2m.
type Duration struct{ time.Duration }

// UnmarshalText parses a duration, which must not be negative.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return &Error{string(text), "no time span: write a figure with ms, s, m or h, such as 250ms"}
	}
	if v < 0 {
		return &Error{string(text), "below 0"}
	}
	d.Duration = v
	return nil
}

// MarshalText formats the duration so that UnmarshalText can read it.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Rate is a frequency of events, written as 44/s, 90/m or 10/h.
type Rate struct{ PerSecond float64 }

var rateUnits = map[string]float64{"s": 1, "m": 60, "h": 3600}

// UnmarshalText parses a rate, which must not be negative.
func (r *Rate) UnmarshalText(text []byte) error {
	value, unit, ok := strings.Cut(string(text), "/")
	per, known := rateUnits[unit]
	v, err := parseNumber(value)
	if !ok || !known || err != nil {
		return &Error{string(text), "no rate: write a figure with /s, /m or /h, such as 44/s"}
	}
	r.PerSecond = v / per
	return nil
}

// MarshalText formats the rate per second.
func (r Rate) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatFloat(r.PerSecond, 'g', -1, 64) + "/s"), nil
}

// Share is a fraction, written in percent: 12.5%. Of1 is the fraction from 0 to 1.
type Share struct{ Of1 float64 }

// UnmarshalText parses a share from 0% to 100%.
func (s *Share) UnmarshalText(text []byte) error {
	value, ok := strings.CutSuffix(string(text), "%")
	v, err := parseNumber(value)
	if !ok || err != nil || v > 100 {
		return &Error{string(text), "no share: write a figure from 0% to 100%, such as 12.5%"}
	}
	s.Of1 = v / 100
	return nil
}

// MarshalText formats the share in percent.
func (s Share) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatFloat(s.Of1*100, 'g', 12, 64) + "%"), nil
}

// Bytes is an amount of memory or disk, written as 512B, 64KiB, 3MB or 1GiB.
type Bytes struct{ N int64 }

var byteUnits = []struct {
	name string
	size float64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"KB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"B", 1}}

// UnmarshalText parses an amount, which must be a whole number of bytes.
func (b *Bytes) UnmarshalText(text []byte) error {
	for _, u := range byteUnits {
		value, ok := strings.CutSuffix(string(text), u.name)
		if !ok {
			continue
		}
		v, err := parseNumber(value)
		if v *= u.size; err != nil || v != math.Trunc(v) || v >= math.MaxInt64 {
			break
		}
		b.N = int64(v)
		return nil
	}
	return &Error{string(text), "no amount of bytes: write a figure with B, KB, KiB, MB, MiB, GB or GiB, such as 3MB"}
}

// MarshalText formats the amount in bytes.
func (b Bytes) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%dB", b.N), nil }

// parseNumber parses a plain decimal number of 0 or more, without sign, exponent, spaces or names such as Inf.
func parseNumber(text string) (float64, error) {
	if text == "" || strings.Trim(text, "0123456789.") != "" {
		return 0, errors.New("not a plain number")
	}
	return strconv.ParseFloat(text, 64)
}
