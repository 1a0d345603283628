package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const repository = "../.."

// Every mistake listed fits the sources, so that a run outside CI plants what its name says.
func TestEveryMistakeListedCanBePlanted(t *testing.T) {
	names := make(map[string]bool)
	for _, each := range listed() {
		text, err := each.planted(repository)
		assert.NilError(t, err)
		before, err := os.ReadFile(filepath.Join(repository, each.file))
		assert.NilError(t, err)
		assert.Assert(t, text != string(before), each.name)
		assert.Assert(t, !names[each.name], "two of the name %s", each.name)
		names[each.name] = true
		for _, folder := range each.packages {
			_, err := os.Stat(filepath.Join(repository, folder))
			assert.NilError(t, err)
		}
	}
}

func TestMistakeWhosePlaceIsGoneIsTold(t *testing.T) {
	missing := mistake{name: "m", file: "go.mod", old: "no such line"}
	_, err := missing.planted(repository)
	var unfit *plantError
	assert.ErrorType(t, err, unfit)
}

func TestSurveyChangesOneLine(t *testing.T) {
	mistakes, err := drawn(repository, []string{"./internal/chain"}, 40, 1)
	assert.NilError(t, err)
	assert.Equal(t, len(mistakes), 40)
	for _, each := range mistakes {
		assert.Assert(t, strings.HasPrefix(each.file, "internal/chain/"), each.file)
		_, err := each.planted(repository)
		assert.NilError(t, err)
	}
	again, err := drawn(repository, []string{"./internal/chain"}, 40, 1)
	assert.NilError(t, err)
	for index := range again {
		assert.Equal(t, again[index].name, mistakes[index].name)
	}
}
