package bundle

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// ChangeAction says how a part differs between two bundles.
type ChangeAction string

// The actions of a Change.
const (
	ChangeAdded   ChangeAction = "added"
	ChangeRemoved ChangeAction = "removed"
	ChangeEdited  ChangeAction = "changed"
)

// Change is the difference of one part between two bundles.
type Change struct {
	Kind   string        `json:"kind"`
	Name   string        `json:"name"`
	Action ChangeAction  `json:"action"`
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is the difference of one field. From or To is empty if the field is unset in that bundle.
type FieldChange struct {
	Field string `json:"field"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
}

// String formats the change as one line for the part and one for each field.
func (c Change) String() string {
	sign := map[ChangeAction]string{ChangeAdded: "+", ChangeRemoved: "-", ChangeEdited: "~"}[c.Action]
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s %s", sign, c.Kind, c.Name)
	for _, field := range c.Fields {
		switch {
		case field.From == "":
			fmt.Fprintf(&text, "\n    %s: %s", field.Field, field.To)
		case field.To == "":
			fmt.Fprintf(&text, "\n    %s: %s -> (unset)", field.Field, field.From)
		default:
			fmt.Fprintf(&text, "\n    %s: %s -> %s", field.Field, field.From, field.To)
		}
	}
	return text.String()
}

// Changes lists the differences between two bundles, which must be in canonical form: the access, then services, routes,
// resources and teams, each sorted by name. Keys are shown by their digests.
func Changes(from, to *Bundle) []Change {
	changes := accessChange(from, to)
	changes = append(changes, changesOf("service", from.Services, to.Services, func(s Service) string { return s.Name })...)
	changes = append(changes, changesOf("route", from.Routes, to.Routes, func(r Route) string { return r.Name })...)
	changes = append(changes,
		changesOf("resource", from.Resources, to.Resources, func(r Resource) string { return r.Name })...)
	return append(changes,
		changesOf("team", redactedTeams(from.Teams), redactedTeams(to.Teams), func(t Team) string { return t.Name })...)
}

func changesOf[T any](kind string, from, to []T, name func(T) string) []Change {
	before, after := flattenAll(from, name), flattenAll(to, name)
	var changes []Change
	for _, key := range unionKeys(before, after) {
		old, hadOld := before[key]
		current, hasNew := after[key]
		change := Change{Kind: kind, Name: key, Action: ChangeEdited, Fields: fieldChanges(old, current)}
		switch {
		case !hadOld:
			change.Action = ChangeAdded
		case !hasNew:
			change.Action, change.Fields = ChangeRemoved, nil
		case len(change.Fields) == 0:
			continue
		}
		changes = append(changes, change)
	}
	return changes
}

func fieldChanges(old, current map[string]string) []FieldChange {
	var fields []FieldChange
	for _, field := range unionKeys(old, current) {
		if field != "name" && old[field] != current[field] {
			fields = append(fields, FieldChange{Field: field, From: old[field], To: current[field]})
		}
	}
	return fields
}

func unionKeys[T any](a, b map[string]T) []string {
	keys := append(sortedKeys(a), sortedKeys(b)...)
	slices.Sort(keys)
	return slices.Compact(keys)
}

// flattenAll returns the fields of each item by the item's name. A field is given by its path and its JSON value.
func flattenAll[T any](items []T, name func(T) string) map[string]map[string]string {
	result := make(map[string]map[string]string, len(items))
	for _, item := range items {
		data, err := json.Marshal(item)
		if err != nil {
			// The model holds only strings, integers, lists and maps, which always encode.
			panic(err)
		}
		fields := make(map[string]string)
		flatten(fields, "", data)
		result[name(item)] = fields
	}
	return result
}

// flatten adds the fields of a JSON value under their paths, such as match.host. A list is one value.
func flatten(fields map[string]string, path string, data json.RawMessage) {
	var members map[string]json.RawMessage
	if json.Unmarshal(data, &members) != nil {
		fields[path] = string(data)
		return
	}
	for key, value := range members {
		next := key
		if path != "" {
			next = path + "." + key
		}
		flatten(fields, next, value)
	}
}
