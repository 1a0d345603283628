package config

import (
	"bytes"
	"math/big"
)

// maxExponent bounds the exponents that are written out, so that a short text can't ask for a huge number.
const maxExponent = 30

// writeNumbersPlainly returns JSON text in which each whole number is written in digits alone: 8000 for 8000.0 and 8e3. Everything
// else stays byte for byte. The text has to be JSON.
func writeNumbersPlainly(text []byte) ([]byte, error) {
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
	return out.Bytes(), nil
}

func startsNumber(character byte) bool {
	return character == '-' || character >= '0' && character <= '9'
}

// endOfNumber returns the position after the number that begins at start.
func endOfNumber(text []byte, start int) int {
	for position := start; position < len(text); position++ {
		if !bytes.ContainsRune([]byte("+-.eE0123456789"), rune(text[position])) {
			return position
		}
	}
	return len(text)
}

// plainNumber writes a whole number in digits, and leaves any other as it is.
func plainNumber(number string) string {
	if exponentTooLarge(number) {
		return number
	}
	value, ok := new(big.Rat).SetString(number)
	if !ok || !value.IsInt() {
		return number
	}
	return value.Num().String()
}

func exponentTooLarge(number string) bool {
	value, _, err := big.ParseFloat(number, 10, 53, big.ToNearestEven)
	if err != nil {
		return true
	}
	exponent := value.MantExp(nil)
	return exponent > 4*maxExponent || exponent < -4*maxExponent
}
