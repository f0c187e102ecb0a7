package protocol

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// HeaderFields are the header fields of a request or a response, by canonical name. Their encoding is compact: in small
// calls between nodes, the metadata is longer than the body, and traffic between zones is charged by the byte.
//
// The encoding is the list of fields, sorted by name. Each field consists of the index of its name in staticNames, or 0
// and the name, then the number of values, then the values. Numbers are unsigned varints, and strings have their length
// before them.
type HeaderFields map[string][]string

// staticNames are the frequent names, which are sent as their index, counted from 1. New names may only be appended,
// since processes of adjacent releases must agree on the indices.
var staticNames = []string{
	"Accept", "Accept-Encoding", "Accept-Language", "Authorization", "Cache-Control", "Content-Encoding",
	"Content-Language", "Content-Length", "Content-Type", "Cookie", "Date", "Etag", "Expires", "If-Match",
	"If-Modified-Since", "If-None-Match", "Last-Modified", "Location", "Origin", "Range", "Referer", "Retry-After",
	"Server", "Set-Cookie", "Traceparent", "Tracestate", "User-Agent", "Vary", "Via", "X-Forwarded-For",
	"X-Forwarded-Proto", "X-Request-Id", HeaderIdempotencyKey, HeaderOutcome, HeaderReason,
}

var staticIndices = func() map[string]uint64 {
	indices := make(map[string]uint64, len(staticNames))
	for i, name := range staticNames {
		indices[name] = uint64(i + 1)
	}
	return indices
}()

// MarshalCBOR encodes the fields as one byte string.
func (f HeaderFields) MarshalCBOR() ([]byte, error) {
	var data []byte
	for _, name := range slices.Sorted(maps.Keys(f)) {
		index := staticIndices[name]
		data = binary.AppendUvarint(data, index)
		if index == 0 {
			data = appendText(data, name)
		}
		data = binary.AppendUvarint(data, uint64(len(f[name])))
		for _, value := range f[name] {
			data = appendText(data, value)
		}
	}
	return encoder.Marshal(data)
}

// appendText appends a string with its length before it.
func appendText(data []byte, text string) []byte {
	return append(binary.AppendUvarint(data, uint64(len(text))), text...)
}

// UnmarshalCBOR decodes what MarshalCBOR encodes.
func (f *HeaderFields) UnmarshalCBOR(encoded []byte) error {
	var data []byte
	if err := decoder.Unmarshal(encoded, &data); err != nil {
		return err
	}
	reader := fieldReader{data: data}
	fields := make(HeaderFields)
	for len(reader.data) > 0 && reader.err == nil {
		name := reader.name()
		if _, repeated := fields[name]; repeated {
			reader.fail("a name appears twice")
		}
		fields[name] = reader.values()
	}
	if reader.err != nil {
		return reader.err
	}
	*f = fields
	return nil
}

// fieldReader reads encoded fields. After its first error, all its methods return zero values.
type fieldReader struct {
	data []byte
	err  error
}

func (r *fieldReader) fail(problem string) {
	if r.err == nil {
		r.err = errors.Wrapf(ErrMalformed, "header fields: %s", problem)
	}
	r.data = nil
}

func (r *fieldReader) number() uint64 {
	number, length := binary.Uvarint(r.data)
	if length <= 0 {
		r.fail("a number is truncated or too large")
		return 0
	}
	r.data = r.data[length:]
	return number
}

func (r *fieldReader) text() string {
	length := r.number()
	if length > uint64(len(r.data)) {
		r.fail("a string is longer than the rest of the message")
		return ""
	}
	text := string(r.data[:length])
	r.data = r.data[length:]
	return text
}

func (r *fieldReader) name() string {
	index := r.number()
	switch {
	case index == 0:
		return r.text()
	case index > uint64(len(staticNames)):
		r.fail("the index of a name is unknown")
		return ""
	default:
		return staticNames[index-1]
	}
}

func (r *fieldReader) values() []string {
	count := r.number()
	if count > uint64(len(r.data)) { // a value takes at least one byte
		r.fail("there are more values than bytes")
		return nil
	}
	values := make([]string, 0, count)
	for range count {
		values = append(values, r.text())
	}
	return values
}

var (
	_ cbor.Marshaler   = HeaderFields(nil)
	_ cbor.Unmarshaler = (*HeaderFields)(nil)
)
