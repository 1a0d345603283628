package config

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"unicode/utf8"

	"gotest.tools/v3/assert"
)

var scanSamples = []string{
	`[]`, ` [ ] `, `[1]`, `[ 1 , -2.5e+3,true,null , "a" ]`, `[[],[[]],{},{"a":[1,{"b":"]"}]}]`,
	`["\"","\\","\\\"","]","},{",",", "é\u00e9"]`, "[\r\n\t1\r\n,\t2\r\n]", `[{"a":"\\"},{"a":"\\\\\""}]`,
	`{}`, `{ }`, `{"a":1}`, ` { "a" : 1 , "b" : [ 1 , 2 ] , "c" : { "d" : "}" } } `, `{"\"":1,"\\":2,"\u0061":3}`,
	`{"":""}`, `{"a":{"a":{"a":[]}}}`,
}

// checkScan compares the results of the scanner for valid JSON with those of encoding/json.
func checkScan(t *testing.T, text []byte) {
	t.Helper()
	if checkSyntax(text) != nil {
		assert.Assert(t, !json.Valid(text) || !utf8.Valid(text), "%q", text)
		return
	}
	trimmed := bytes.Trim(text, " \t\r\n")
	assert.Equal(t, endOfValue(trimmed, 0), len(trimmed), "%s", text)
	switch {
	case isArray(trimmed):
		checkElements(t, trimmed)
	case isObject(trimmed):
		checkMembers(t, trimmed)
	}
}

func checkElements(t *testing.T, text []byte) {
	t.Helper()
	var want []json.RawMessage
	assert.NilError(t, json.Unmarshal(text, &want))
	got := elements(text)
	assert.Equal(t, len(got), len(want), "%s", text)
	for index := range want {
		assert.Equal(t, string(got[index]), string(want[index]), "%s", text)
	}
}

func checkMembers(t *testing.T, text []byte) {
	t.Helper()
	var want map[string]json.RawMessage
	assert.NilError(t, json.Unmarshal(text, &want))
	got, err := splitObject(text, "")
	if err != nil {
		return // duplicate names, which encoding/json allows
	}
	assert.Equal(t, len(got.members), len(want), "%s", text)
	for _, member := range got.members {
		assert.Equal(t, string(member.value), string(want[member.name]), "%s in %s", member.name, text)
	}
	assert.Assert(t, json.Valid(got.encode()), "%s", text)
}

func TestScannerMatchesEncodingJSON(t *testing.T) {
	for _, text := range scanSamples {
		checkScan(t, []byte(text))
	}
}

func TestTruncatedJSONIsRefused(t *testing.T) {
	for _, text := range scanSamples {
		for length := range len(bytes.TrimSpace([]byte(text))) {
			cut := []byte(text[:length])
			assert.ErrorType(t, checkSyntax(cut), &InvalidError{}, "%s", cut)
		}
	}
}

func TestDuplicateNameIsRefused(t *testing.T) {
	_, err := readObject([]byte(`{"a":1,"\u0061":2}`), "/x")
	assert.Error(t, err, `/x/a: given twice`)
}

// Numbers that are short to write but slow to process are refused.
func TestNumbersOutOfRange(t *testing.T) {
	for _, number := range []string{"1e309", "1E+999999", "1e-999999999", "1e99999999999999999999", "1." + strings.Repeat("0", 80)} {
		for _, text := range []string{`{"generation":` + number + `,"routes":[],"backends":[]}`,
			`{"generation":1,"routes":[],"backends":[],"x":[` + number + `]}`} {
			_, err := Parse([]byte(text))
			assert.ErrorContains(t, err, "this number is out of range")
		}
	}
	assert.NilError(t, checkNumbers([]byte(`{"1e999":["1e999\\\"",1e308,-1.5E-308,0]}`)))
}

func TestInvalidUTF8IsRefused(t *testing.T) {
	for _, text := range []string{"{\"\xff\":1}", "[\"\xc3\"]", "\xff"} {
		assert.Error(t, checkSyntax([]byte(text)), "configuration: not UTF-8")
	}
}

func FuzzScan(f *testing.F) {
	for _, text := range scanSamples {
		f.Add([]byte(text))
	}
	f.Fuzz(checkScan)
}

func TestNormalizeNumbers(t *testing.T) {
	for number, want := range map[string]string{
		"0": "0", "-0": "0", "1.0": "1", "1e3": "1000", "1.5": "1.5", "-2.50e1": "-25", "1E-2": "1E-2", "100e-2": "1",
		"9007199254740993.0": "9007199254740993", "1e999999999": "1e999999999", "1e-999999999": "1e-999999999",
		"18446744073709551615.0": "18446744073709551615",
	} {
		got := normalizeNumbers([]byte(`{"1.0": [` + number + `]}`))
		assert.Equal(t, string(got), `{"1.0": [`+want+`]}`)
	}
}

func TestEmptyTextIsNeitherArrayNorObject(t *testing.T) {
	assert.Assert(t, !isArray(nil) && !isObject(nil))
	assert.Assert(t, isArray([]byte("[]")) && !isObject([]byte("[]")))
	assert.Assert(t, isObject([]byte("{}")) && !isArray([]byte("{}")))
}
