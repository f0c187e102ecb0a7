package bundle

import (
	"fmt"
	"strings"
)

// Problem is one invalid value in a bundle.
type Problem struct {
	// File is the file that contains the value; it is empty for a bundle that was not loaded from files.
	File string `json:"file,omitempty"`
	// Field is the path of the value, such as routes[3].match.path_prefix.
	Field string `json:"field"`
	// Value is the invalid value as text.
	Value string `json:"value"`
	// Allowed says which values are accepted.
	Allowed string `json:"allowed"`
}

// String formats the problem as one line.
func (p Problem) String() string {
	text := fmt.Sprintf("%s: got %s, allowed: %s", p.Field, p.Value, p.Allowed)
	if p.File == "" {
		return text
	}
	return p.File + ": " + text
}

// Problems lists all problems of a bundle. An empty list means that the bundle is valid.
type Problems []Problem

// Error formats one problem per line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p)+1)
	lines = append(lines, fmt.Sprintf("bundle: %d problems", len(p)))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil if it is empty.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
