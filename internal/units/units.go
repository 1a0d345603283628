// Package units holds the quantities that people write into the product's files: always a figure with its unit, so
// that a file says by itself what it means and a figure in the wrong unit is an error, not a surprise.
//
// Each type is a struct, so that a bare number in a file cannot slip into one.
package units

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Error says of a text that it is no quantity of its type.
type Error struct{ Text, Why string }

func (e *Error) Error() string { return fmt.Sprintf("%q is %s", e.Text, e.Why) }

// Duration is a time span, written as 250ms, 1.5s or 2m.
type Duration struct{ time.Duration }

// UnmarshalText reads a span; it may not be negative.
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

// MarshalText writes the span as it is read.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Rate is how often something happens, written as 44/s, 90/m or 10/h.
type Rate struct{ PerSecond float64 }

var rateUnits = map[string]float64{"s": 1, "m": 60, "h": 3600}

// UnmarshalText reads a rate; it may not be negative.
func (r *Rate) UnmarshalText(text []byte) error {
	figure, unit, ok := strings.Cut(string(text), "/")
	per, known := rateUnits[unit]
	v, err := number(figure)
	if !ok || !known || err != nil {
		return &Error{string(text), "no rate: write a figure with /s, /m or /h, such as 44/s"}
	}
	r.PerSecond = v / per
	return nil
}

// MarshalText writes the rate for a second.
func (r Rate) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatFloat(r.PerSecond, 'g', -1, 64) + "/s"), nil
}

// Share is a part of a whole, written in percent: 12.5%.
type Share struct{ Of1 float64 }

// UnmarshalText reads a share from 0% to 100%.
func (s *Share) UnmarshalText(text []byte) error {
	figure, ok := strings.CutSuffix(string(text), "%")
	v, err := number(figure)
	if !ok || err != nil || v > 100 {
		return &Error{string(text), "no share: write a figure from 0% to 100%, such as 12.5%"}
	}
	s.Of1 = v / 100
	return nil
}

// MarshalText writes the share in percent.
func (s Share) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatFloat(s.Of1*100, 'g', 12, 64) + "%"), nil
}

// Bytes is an amount of memory or disk, written as 512B, 64KiB, 3MB or 1GiB.
type Bytes struct{ N int64 }

var byteUnits = []struct {
	name string
	size float64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"KB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"B", 1}}

// UnmarshalText reads an amount; it has to be a whole number of bytes.
func (b *Bytes) UnmarshalText(text []byte) error {
	for _, u := range byteUnits {
		figure, ok := strings.CutSuffix(string(text), u.name)
		if !ok {
			continue
		}
		v, err := number(figure)
		if v *= u.size; err != nil || v != math.Trunc(v) || v >= math.MaxInt64 {
			break
		}
		b.N = int64(v)
		return nil
	}
	return &Error{string(text), "no amount of bytes: write a figure with B, KB, KiB, MB, MiB, GB or GiB, such as 3MB"}
}

// MarshalText writes the amount in bytes.
func (b Bytes) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%dB", b.N), nil }

// number reads a plain figure of 0 or more: no sign, no exponent, no space, no name of a number.
func number(text string) (float64, error) {
	if text == "" || strings.Trim(text, "0123456789.") != "" {
		return 0, errors.New("no figure")
	}
	return strconv.ParseFloat(text, 64)
}
