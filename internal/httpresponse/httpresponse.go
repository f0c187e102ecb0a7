// Package httpresponse holds the rules that every HTTP response which a process reads must meet, besides those that
// net/http enforces. A response that breaks one counts as none.
package httpresponse

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed reports a response that breaks a rule.
var ErrMalformed = errors.New("httpresponse: malformed response")

const (
	// maxStatusCode is the last status code that has a class; those beyond it are invalid (RFC 9110, section 15).
	maxStatusCode = 599
	// maxFields bounds the fields of a head: each takes memory in every copy of the head, however short it is.
	maxFields = 1000
)

// Check returns ErrMalformed if the head of a response breaks a rule. Otherwise reading the body returns ErrMalformed if
// the trailer does.
func Check(response *http.Response) error {
	if err := CheckHead(response.StatusCode, response.Header); err != nil {
		return err
	}
	if err := CheckFields(response.Trailer); err != nil {
		return err
	}
	response.Body = &checkedBody{ReadCloser: response.Body, response: response}
	return nil
}

// CheckHead returns ErrMalformed if a status code or the fields after it break a rule.
func CheckHead(statusCode int, header http.Header) error {
	if err := checkFinal(statusCode); err != nil {
		return err
	}
	if count := countFields(header); count > maxFields {
		return errors.Wrapf(ErrMalformed, "a head of %d fields, allowed: %d", count, maxFields)
	}
	return CheckFields(header)
}

// checkFinal returns ErrMalformed for a status code that does not belong to a final response. With a 101, net/http hands
// the connection over and no longer closes it when the context ends, although no request asks for an upgrade.
func checkFinal(statusCode int) error {
	if statusCode < http.StatusOK || statusCode > maxStatusCode {
		return errors.Wrapf(ErrMalformed, "status code %d in place of a final response", statusCode)
	}
	return nil
}

func countFields(header http.Header) int {
	count := 0
	for _, values := range header {
		count += len(values)
	}
	return count
}

// CheckFields returns ErrMalformed if a name is not a token, or a value has a byte that none may have (RFC 9110, section
// 5). net/http takes names with blanks, and then does not know the field: with a blank before the colon of
// Transfer-Encoding or Content-Length, the body would be another than the sender's.
func CheckFields(fields http.Header) error {
	for name, values := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformed, "the name of the field %q is not a token", name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return errors.Wrapf(ErrMalformed, "the field %s has the value %q", name, value)
			}
		}
	}
	return nil
}

// checkedBody is a body whose end is an error if the trailer after it, which net/http reads with it, is malformed.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		if malformed := CheckFields(b.response.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}
