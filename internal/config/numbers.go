package config

import (
	"bytes"
	"math/big"
	"strconv"
	"strings"
)

const (
	// longestNumber is the largest number of characters of a number.
	longestNumber = 64
	// largestExponent bounds the exponents of numbers, so that a short text can't ask for a huge number.
	largestExponent = 308
)

// checkNumbers refuses numbers that take long to work with. The text has to be JSON.
func checkNumbers(text []byte) error {
	for position := 0; position < len(text); {
		switch character := text[position]; {
		case character == '"':
			position = endOfString(text, position)
		case startsNumber(character):
			end := endOfNumber(text, position)
			if number := string(text[position:end]); !isHandy(number) {
				return invalid("", number, "this number is out of range")
			}
			position = end
		default:
			position++
		}
	}
	return nil
}

// isHandy tells whether a number is within the bounds.
func isHandy(number string) bool {
	if len(number) > longestNumber {
		return false
	}
	at := strings.IndexAny(number, "eE")
	if at < 0 {
		return true
	}
	exponent, err := strconv.Atoi(number[at+1:])
	return err == nil && exponent >= -largestExponent && exponent <= largestExponent
}

// writeNumbersPlainly returns JSON text in which each whole number is written in digits alone: 8000 for 8000.0 and 8e3. Everything
// else stays byte for byte. The text has to be JSON.
func writeNumbersPlainly(text []byte) []byte {
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
			out.WriteString(plainNumber(string(text[position:end])))
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

// endOfNumber returns the position after the number that begins at start.
func endOfNumber(text []byte, start int) int {
	for position := start; position < len(text); position++ {
		if strings.IndexByte("+-.eE0123456789", text[position]) < 0 {
			return position
		}
	}
	return len(text)
}

// plainNumber writes a whole number in digits, and leaves any other as it is.
func plainNumber(number string) string {
	if !isHandy(number) {
		return number
	}
	value, ok := new(big.Rat).SetString(number)
	if !ok || !value.IsInt() {
		return number
	}
	return value.Num().String()
}
