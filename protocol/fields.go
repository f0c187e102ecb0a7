package protocol

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// HeaderFields are the header fields of a request or an answer, by canonical name. On the wire the usual names take one byte:
// between two nodes, the head of a small call is longer than its body, and links between zones are charged by the byte.
//
// The encoding is a list of fields in the order of their names: the index of a usual name, or 0 and the name; the number
// of values; and the values. Numbers are unsigned varints, and texts are preceded by their length.
type HeaderFields map[string][]string

// usualNames are the names that are sent as their index, counted from 1. Names are only ever appended: processes of
// neighbouring releases understand each other's indices.
var usualNames = []string{
	"Accept", "Accept-Encoding", "Accept-Language", "Authorization", "Cache-Control", "Content-Encoding",
	"Content-Language", "Content-Length", "Content-Type", "Cookie", "Date", "Etag", "Expires", "If-Match",
	"If-Modified-Since", "If-None-Match", "Last-Modified", "Location", "Origin", "Range", "Referer", "Retry-After",
	"Server", "Set-Cookie", "Traceparent", "Tracestate", "User-Agent", "Vary", "Via", "X-Forwarded-For",
	"X-Forwarded-Proto", "X-Request-Id", HeaderIdempotencyKey, HeaderOutcome, HeaderReason,
}

var usualIndices = func() map[string]uint64 {
	indices := make(map[string]uint64, len(usualNames))
	for i, name := range usualNames {
		indices[name] = uint64(i + 1)
	}
	return indices
}()

// MarshalCBOR encodes the fields as one byte string.
func (f HeaderFields) MarshalCBOR() ([]byte, error) {
	var data []byte
	for _, name := range slices.Sorted(maps.Keys(f)) {
		index := usualIndices[name]
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

// fieldReader consumes encoded fields. After its first error it returns zero values.
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
		r.fail("a number is cut off or too large")
		return 0
	}
	r.data = r.data[length:]
	return number
}

func (r *fieldReader) text() string {
	length := r.number()
	if length > uint64(len(r.data)) {
		r.fail("a text is longer than the message")
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
	case index > uint64(len(usualNames)):
		r.fail("an unknown name")
		return ""
	default:
		return usualNames[index-1]
	}
}

func (r *fieldReader) values() []string {
	count := r.number()
	if count > uint64(len(r.data)) { // A value takes a byte at least.
		r.fail("more values than bytes")
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
