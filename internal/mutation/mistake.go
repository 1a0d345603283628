package main

import (
	"fmt"
	"os"
	"strings"
)

// mistake is a change of one place in a file, and the packages whose tests have to find it.
type mistake struct {
	name     string
	file     string
	old, new string
	packages []string
}

// plantError tells that a mistake does not fit the sources any more.
type plantError struct {
	name  string
	found int
}

// Error tells how often the place was found.
func (e *plantError) Error() string {
	return fmt.Sprintf("%s: its place is found %d times, wanted is once", e.name, e.found)
}

// planted returns the text of the file with the mistake in it.
func (m mistake) planted(root string) (string, error) {
	text, err := os.ReadFile(root + "/" + m.file)
	if err != nil {
		return "", err
	}
	if found := strings.Count(string(text), m.old); found != 1 {
		return "", &plantError{name: m.name, found: found}
	}
	return strings.Replace(string(text), m.old, m.new, 1), nil
}
