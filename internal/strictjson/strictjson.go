// Package strictjson decodes JSON into Go values and reports every fault with its path, its value and what is allowed.
// Unlike encoding/json, it rejects unknown fields, duplicate keys, keys in another case and null.
package strictjson

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"
)

// maxValueLength bounds the text of a value in a problem.
const maxValueLength = 120

// Problem describes one fault: its path in the document, the value and what is allowed instead.
type Problem struct {
	Path    string
	Value   string
	Allowed string
}

// Describer is implemented by types that decode from text and can say which texts they accept.
type Describer interface {
	DescribeText() string
}

// Decode decodes data into the value that into points to. Fields that are absent from data keep their values. It
// returns all faults in the order of their position.
func Decode(data []byte, into any) []Problem {
	if !utf8.Valid(data) {
		return []Problem{{Path: "(file)", Value: "invalid UTF-8", Allowed: "JSON in UTF-8"}}
	}
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return []Problem{{Path: position(data, err), Value: err.Error(), Allowed: "valid JSON"}}
	}
	d := &decoder{}
	tokens := json.NewDecoder(bytes.NewReader(data))
	tokens.UseNumber()
	root := d.parse(tokens, "")
	d.assign("", root, reflect.ValueOf(into).Elem())
	return d.problems
}

// Duplicates returns a problem for each repeated key of an object, for decoders that would take one of its values. data must
// be valid JSON.
func Duplicates(data []byte) []Problem {
	d := &decoder{}
	d.parse(json.NewDecoder(bytes.NewReader(data)), "")
	return d.problems
}

// Keys returns the top-level keys of a JSON object; it is empty if data is no object.
func Keys(data []byte) map[string]bool {
	var members map[string]json.RawMessage
	_ = json.Unmarshal(data, &members)
	keys := make(map[string]bool, len(members))
	for key := range members {
		keys[key] = true
	}
	return keys
}

// position names the line and column of a syntax error.
func position(data []byte, err error) string {
	offset := len(data)
	if syntax, ok := err.(*json.SyntaxError); ok {
		offset = min(int(syntax.Offset), len(data))
	}
	before := data[:offset]
	line := bytes.Count(before, []byte("\n")) + 1
	column := offset - (bytes.LastIndexByte(before, '\n') + 1)
	return fmt.Sprintf("line %d, column %d", line, column)
}

// node is a parsed JSON value: a string, json.Number, bool, nil, []node or object.
type node any

type member struct {
	key   string
	value node
}

type object []member

type decoder struct {
	problems []Problem
}

func (d *decoder) add(path, value, allowed string) {
	if path == "" {
		path = "(file)"
	}
	d.problems = append(d.problems, Problem{Path: path, Value: value, Allowed: allowed})
}

// parse reads one value. The input is known to be valid JSON, so token errors cannot occur.
func (d *decoder) parse(tokens *json.Decoder, path string) node {
	token, err := tokens.Token()
	if err != nil {
		return nil
	}
	switch token {
	case json.Delim('{'):
		return d.parseObject(tokens, path)
	case json.Delim('['):
		return d.parseArray(tokens, path)
	}
	return token
}

func (d *decoder) parseObject(tokens *json.Decoder, path string) node {
	members := object{}
	seen := make(map[string]bool)
	for tokens.More() {
		token, err := tokens.Token()
		if err != nil {
			return members
		}
		key, _ := token.(string)
		value := d.parse(tokens, join(path, key))
		if seen[key] {
			d.add(join(path, key), "duplicate key", "each key once")
			continue
		}
		seen[key] = true
		members = append(members, member{key: key, value: value})
	}
	_, _ = tokens.Token()
	return members
}

func (d *decoder) parseArray(tokens *json.Decoder, path string) node {
	items := []node{}
	for tokens.More() {
		items = append(items, d.parse(tokens, index(path, len(items))))
	}
	_, _ = tokens.Token()
	return items
}

func (d *decoder) assign(path string, value node, target reflect.Value) {
	if text, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.assignText(path, value, target, text)
		return
	}
	switch target.Kind() {
	case reflect.Pointer:
		d.assignPointer(path, value, target)
	case reflect.Struct:
		d.assignStruct(path, value, target)
	case reflect.Slice:
		d.assignSlice(path, value, target)
	case reflect.Map:
		d.assignMap(path, value, target)
	case reflect.String:
		d.assignString(path, value, target)
	case reflect.Bool:
		d.assignBool(path, value, target)
	case reflect.Int, reflect.Int64:
		d.assignInt(path, value, target)
	case reflect.Uint64:
		d.assignUint(path, value, target)
	case reflect.Float64:
		d.assignFloat(path, value, target)
	default:
		panic("strictjson: type is not supported: " + target.Type().String())
	}
}

func (d *decoder) assignText(path string, value node, target reflect.Value, into encoding.TextUnmarshaler) {
	allowed := "a string of the type " + target.Type().Name()
	if describer, ok := into.(Describer); ok {
		allowed = describer.DescribeText()
	}
	text, ok := value.(string)
	if !ok || into.UnmarshalText([]byte(text)) != nil {
		d.add(path, describeValue(value), allowed)
	}
}

func (d *decoder) assignPointer(path string, value node, target reflect.Value) {
	if target.IsNil() {
		target.Set(reflect.New(target.Type().Elem()))
	}
	d.assign(path, value, target.Elem())
}

func (d *decoder) assignStruct(path string, value node, target reflect.Value) {
	members, ok := value.(object)
	if !ok {
		d.add(path, describeValue(value), "an object")
		return
	}
	fields, names := fieldsOf(target.Type())
	for _, m := range members {
		i, known := fields[m.key]
		if !known {
			d.add(join(path, m.key), "unknown field", "one of "+strings.Join(names, ", "))
			continue
		}
		d.assign(join(path, m.key), m.value, target.Field(i))
	}
}

func (d *decoder) assignSlice(path string, value node, target reflect.Value) {
	items, ok := value.([]node)
	if !ok {
		d.add(path, describeValue(value), "a list")
		return
	}
	list := reflect.MakeSlice(target.Type(), len(items), len(items))
	for i, item := range items {
		d.assign(index(path, i), item, list.Index(i))
	}
	target.Set(list)
}

func (d *decoder) assignMap(path string, value node, target reflect.Value) {
	members, ok := value.(object)
	if !ok {
		d.add(path, describeValue(value), "an object")
		return
	}
	result := reflect.MakeMapWithSize(target.Type(), len(members))
	for _, m := range members {
		item := reflect.New(target.Type().Elem()).Elem()
		d.assign(join(path, m.key), m.value, item)
		result.SetMapIndex(reflect.ValueOf(m.key), item)
	}
	target.Set(result)
}

func (d *decoder) assignString(path string, value node, target reflect.Value) {
	text, ok := value.(string)
	if !ok {
		d.add(path, describeValue(value), "a string")
		return
	}
	target.SetString(text)
}

func (d *decoder) assignBool(path string, value node, target reflect.Value) {
	flag, ok := value.(bool)
	if !ok {
		d.add(path, describeValue(value), "true or false")
		return
	}
	target.SetBool(flag)
}

func (d *decoder) assignInt(path string, value node, target reflect.Value) {
	number, ok := value.(json.Number)
	parsed, err := strconv.ParseInt(string(number), 10, 64)
	if !ok || err != nil || target.OverflowInt(parsed) {
		d.add(path, describeValue(value), "an integer of 64 bits")
		return
	}
	target.SetInt(parsed)
}

func (d *decoder) assignUint(path string, value node, target reflect.Value) {
	number, ok := value.(json.Number)
	parsed, err := strconv.ParseUint(string(number), 10, 64)
	if !ok || err != nil {
		d.add(path, describeValue(value), "an unsigned integer of 64 bits")
		return
	}
	target.SetUint(parsed)
}

func (d *decoder) assignFloat(path string, value node, target reflect.Value) {
	number, ok := value.(json.Number)
	parsed, err := strconv.ParseFloat(string(number), 64)
	if !ok || err != nil {
		d.add(path, describeValue(value), "a number")
		return
	}
	target.SetFloat(parsed)
}

// fieldsOf maps the JSON names of a struct to field indexes and lists them in order.
func fieldsOf(t reflect.Type) (map[string]int, []string) {
	fields := make(map[string]int)
	var names []string
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		fields[name] = i
		names = append(names, name)
	}
	return fields, names
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func index(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

// describeValue returns a short form of a value for error messages.
func describeValue(value node) string {
	switch v := value.(type) {
	case nil:
		return "null"
	case string:
		return Quote(v)
	case object:
		return "an object"
	case []node:
		return "a list"
	default:
		return fmt.Sprint(v)
	}
}

// Quote returns a quoted string of bounded length for error messages.
func Quote(text string) string {
	quoted := strconv.Quote(text)
	if len(quoted) <= maxValueLength {
		return quoted
	}
	return quoted[:maxValueLength] + "..."
}
