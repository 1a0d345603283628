package config

import (
	"bytes"
	"math/big"
	"strconv"
	"strings"
)

const (
	// maxNumberLength is the maximum length of a number in characters.
	maxNumberLength = 64
	// maxExponent bounds the absolute value of exponents, so that a short text can't stand for a number that is slow to process.
	maxExponent = 308
)

// checkNumbers refuses numbers that would be slow to process. The text has to be valid JSON.
func checkNumbers(text []byte) error {
	for position := 0; position < len(text); {
		switch character := text[position]; {
		case character == '"':
			position = endOfString(text, position)
		case startsNumber(character):
			end := endOfNumber(text, position)
			if number := string(text[position:end]); !isWithinLimits(number) {
				return invalid("", number, "this number is out of range")
			}
			position = end
		default:
			position++
		}
	}
	return nil
}

// isWithinLimits reports whether the length and the exponent of a number are within the limits.
func isWithinLimits(number string) bool {
	if len(number) > maxNumberLength {
		return false
	}
	exponentMark := strings.IndexAny(number, "eE")
	if exponentMark < 0 {
		return true
	}
	exponent, err := strconv.Atoi(number[exponentMark+1:])
	return err == nil && exponent >= -maxExponent && exponent <= maxExponent
}

// normalizeNumbers rewrites the integers in JSON text as plain digits, such as 8000 for 8000.0 and 8e3, and copies everything else
// unchanged. The text has to be valid JSON.
func normalizeNumbers(text []byte) []byte {
	var out bytes.Buffer
	out.Grow(len(text))
	for position := 0; position < len(text); {
		var end int
		switch character := text[position]; {
		case character == '"':
			end = endOfString(text, position)
			out.Write(text[position:end])
		case startsNumber(character):
			end = endOfNumber(text, position)
			out.WriteString(normalizeNumber(string(text[position:end])))
		default:
			end = position + 1
			out.WriteByte(character)
		}
		position = end
	}
	return out.Bytes()
}

func startsNumber(character byte) bool {
	return character == '-' || character >= '0' && character <= '9'
}

// endOfNumber returns the position after the number that starts at start.
func endOfNumber(text []byte, start int) int {
	for position := start; position < len(text); position++ {
		if strings.IndexByte("+-.eE0123456789", text[position]) < 0 {
			return position
		}
	}
	return len(text)
}

// normalizeNumber returns an integer as plain digits and any other number unchanged.
func normalizeNumber(number string) string {
	if !isWithinLimits(number) {
		return number
	}
	value, ok := new(big.Rat).SetString(number)
	if !ok || !value.IsInt() {
		return number
	}
	return value.Num().String()
}
