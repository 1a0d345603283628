package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
)

// swaps are the changes of a line that a survey draws from.
var swaps = [][2]string{
	{" < ", " <= "}, {" <= ", " < "}, {" > ", " >= "}, {" >= ", " > "}, {" == ", " != "}, {" != ", " == "},
	{" && ", " || "}, {" || ", " && "}, {"return true", "return false"}, {"return false", "return true"},
	{" + 1", ""}, {" - 1", ""}, {"if !", "if "}, {"max(", "min("}, {"min(", "max("},
}

// drawn draws mistakes in the files of packages, given by their folders: one swap in a line, or a call left out.
func drawn(root string, packages []string, count int, seed uint64) ([]mistake, error) {
	var all []mistake
	for _, name := range packages {
		files, err := filepath.Glob(filepath.Join(root, name, "*.go"))
		if err != nil {
			return nil, err
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			found, err := changesOf(root, file, name)
			if err != nil {
				return nil, err
			}
			all = append(all, found...)
		}
	}
	random := rand.New(rand.NewPCG(seed, 0))
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(count, len(all))], nil
}

// changesOf lists the changes that may be made to a file: those of lines that stand in it once.
func changesOf(root, file, name string) ([]mistake, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	relative, err := filepath.Rel(root, file)
	if err != nil {
		return nil, err
	}
	var changes []mistake
	for number, line := range strings.Split(string(text), "\n") {
		for _, changed := range changedLines(line) {
			whole := "\n" + line + "\n"
			if strings.Count(string(text), whole) != 1 {
				continue
			}
			changes = append(changes, mistake{
				name:     fmt.Sprintf("%s:%d %s", relative, number+1, strings.TrimSpace(changed)),
				file:     relative,
				old:      whole,
				new:      "\n" + changed + "\n",
				packages: []string{"./" + filepath.ToSlash(filepath.Clean(name))},
			})
		}
	}
	return changes, nil
}

func changedLines(line string) []string {
	code := strings.TrimSpace(line)
	if code == "" || strings.HasPrefix(code, "//") {
		return nil
	}
	var changed []string
	for _, swap := range swaps {
		if strings.Contains(line, swap[0]) {
			changed = append(changed, strings.Replace(line, swap[0], swap[1], 1))
		}
	}
	if strings.HasPrefix(code, "n.") && strings.HasSuffix(code, ")") || strings.HasPrefix(code, "delete(") {
		changed = append(changed, "")
	}
	return changed
}
