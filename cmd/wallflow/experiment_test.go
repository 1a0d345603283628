package main

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"wallflow/internal/experiment"
)

func TestExperimentReportsEachPolicy(t *testing.T) {
	var out, errOut bytes.Buffer
	code := run([]string{"experiment", "--for", "3s", "--seeds", "2", "--engines", "6"}, nil, &out, &errOut)
	assert.Equal(t, code, exitOK, errOut.String())
	for _, policy := range experiment.Policies() {
		assert.Assert(t, strings.Contains(out.String(), policy), out.String())
	}
	out.Reset()
	code = run([]string{"experiment", "--for", "3s", "--seeds", "2", "--policy", "oracle", "--json"}, nil, &out, &errOut)
	assert.Equal(t, code, exitOK, errOut.String())
	var summaries []experiment.Summary
	assert.NilError(t, json.Unmarshal(out.Bytes(), &summaries))
	assert.Equal(t, len(summaries), 1)
	assert.Equal(t, summaries[0].RelativeGoodput, 1.0)
}

func TestExperimentRejectsInvalidOptions(t *testing.T) {
	for want, arguments := range map[string][]string{
		"--seeds 0":                     {"--seeds", "0"},
		"--load 0":                      {"--load", "0"},
		"relays: at least one":          {"--relays", "1"},
		"one of selector":               {"--policy", "fastest"},
		"experiment takes no arguments": {"now"},
	} {
		var errOut bytes.Buffer
		code := run(append([]string{"experiment"}, arguments...), nil, &bytes.Buffer{}, &errOut)
		assert.Equal(t, code, exitError)
		assert.Assert(t, strings.Contains(errOut.String(), want), errOut.String())
	}
}
