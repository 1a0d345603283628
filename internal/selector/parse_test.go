package selector

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestParsePrompt(t *testing.T) {
	cases := []struct {
		name   string
		prefix string
		usage  string
		parts  []PromptPart
		in     int
		out    int
	}{
		{"as clients send it", "5c1e07a2:800,91bd3f06:410", "1210,80", []PromptPart{{0x5c1e07a2, 800}, {0x91bd3f06, 410}}, 1210, 80},
		{"none", "", "", nil, 0, 0},
		{"spaces", " a:1 , b:2", " 3 , 4 ", []PromptPart{{0xa, 1}, {0xb, 2}}, 3, 4},
		{"no usage", "a:1,b:2", "", []PromptPart{{0xa, 1}, {0xb, 2}}, 3, 0},
		{"no hex", "a:1,zz:2,c:3", "9,1", []PromptPart{{0xa, 1}}, 9, 1},
		{"odd tokens", "a:-5,b:x,c", "-1,x", []PromptPart{{0xa, 0}, {0xb, 0}, {0xc, 0}}, 0, 0},
		{"too much", "a:99999999999", "99999999,1", []PromptPart{{0xa, maxTokens}}, maxTokens, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			parts, in, out := ParsePrompt(c.prefix, c.usage)
			assert.DeepEqual(t, parts, c.parts)
			assert.Equal(t, in, c.in)
			assert.Equal(t, out, c.out)
		})
	}
	parts, _, _ := ParsePrompt(strings.Repeat("a:1,", 10_000), "")
	assert.Equal(t, len(parts), maxParts)
}
