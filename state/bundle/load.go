package bundle

import (
	"encoding/json"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/internal/strictjson"
)

// Load reads all *.json files below a folder, validates the result and returns it in canonical form. The error is of
// type Problems if the content of the files is invalid.
func Load(folder string) (*Bundle, error) {
	files, err := bundleFiles(folder)
	if err != nil {
		return nil, err
	}
	merged, from, problems := &Bundle{}, origins{}, Problems{}
	for _, name := range files {
		data, err := readFile(filepath.Join(folder, filepath.FromSlash(name)))
		if err != nil {
			return nil, errors.Wrap(err, "bundle: read file")
		}
		b, faults := Parse(name, data)
		problems = append(problems, faults...)
		problems = append(problems, merged.append(b, name, &from)...)
	}
	problems = append(problems, validate(merged, from)...)
	if len(merged.Services) == 0 {
		problems = append(problems, Problem{File: folder, Field: "services", Value: "no service in any *.json file",
			Allowed: "at least one service"})
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}
	Canonicalize(merged)
	return merged, nil
}

// bundleFiles lists the *.json files below a folder in lexical order, relative to it and with forward slashes.
func bundleFiles(folder string) ([]string, error) {
	var files []string
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".json") {
			return nil
		}
		relative, err := filepath.Rel(folder, path)
		files = append(files, filepath.ToSlash(relative))
		return err
	})
	return files, errors.Wrap(err, "bundle: list files")
}

// readFile returns at most one byte more than MaxFileBytes, so that Parse reports a file that is too large.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, MaxFileBytes+1))
}

// append adds the content of one file and records the origins. It returns what contradicts the files before.
func (b *Bundle) append(other *Bundle, file string, from *origins) Problems {
	for i, service := range other.Services {
		b.Services = append(b.Services, service)
		from.services = append(from.services, origin{file: file, index: i})
	}
	for i, route := range other.Routes {
		b.Routes = append(b.Routes, route)
		from.routes = append(from.routes, origin{file: file, index: i})
	}
	for i, resource := range other.Resources {
		b.Resources = append(b.Resources, resource)
		from.resources = append(from.resources, origin{file: file, index: i})
	}
	if other.Teams != nil && b.Teams == nil {
		b.Teams = []Team{}
	}
	for i, team := range other.Teams {
		b.Teams = append(b.Teams, team)
		from.teams = append(from.teams, origin{file: file, index: i})
	}
	return b.mergeAccess(other, file, from)
}

// Parse decodes the content of one bundle file. Unknown fields and duplicate keys are rejected. The returned
// bundle contains the values that could be decoded.
func Parse(file string, data []byte) (*Bundle, Problems) {
	b := &Bundle{}
	if len(data) > MaxFileBytes {
		return b, Problems{{File: file, Field: "(file)", Value: "a larger file",
			Allowed: "at most " + strconv.Itoa(MaxFileBytes) + " bytes"}}
	}
	var problems Problems
	for _, fault := range strictjson.Decode(data, b) {
		problem := Problem{File: file, Field: fault.Path, Value: fault.Value, Allowed: fault.Allowed}
		problem.redactKeys()
		problems = append(problems, problem)
	}
	return b, problems
}

// Format encodes a bundle as the content of a bundle file, which Parse decodes.
func Format(b *Bundle) ([]byte, error) {
	full := Bundle{
		Services:  append([]Service{}, b.Services...),
		Routes:    append([]Route{}, b.Routes...),
		Resources: append([]Resource{}, b.Resources...),
		Teams:     b.Teams,
		Access:    b.encodedAccess(),
	}
	data, err := json.MarshalIndent(full, "", "  ")
	return append(data, '\n'), errors.Wrap(err, "bundle: format")
}
