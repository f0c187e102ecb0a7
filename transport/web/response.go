package web

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// checkResponse applies the rules that every response of an upstream must meet besides those that net/http enforces. It
// returns ErrConnectionBroken if the head breaks one; reading the body returns an error if the trailer does.
func checkResponse(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return errors.Wrapf(ErrConnectionBroken, "protocol %s in place of HTTP/1", response.Proto)
	}
	if err := checkFinal(response); err != nil {
		return err
	}
	if count := countFields(response.Header); count > maxFields {
		return errors.Wrapf(ErrConnectionBroken, "a head of %d fields, allowed: %d", count, maxFields)
	}
	if err := checkFieldNames(response.Header, response.Trailer); err != nil {
		return errors.Wrapf(ErrConnectionBroken, "%v", err)
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = &chunkedBody{ReadCloser: response.Body, response: response}
	}
	return nil
}

// maxStatusCode is the last status code that has a class; those beyond it are invalid (RFC 9110, section 15).
const maxStatusCode = 599

// checkFinal returns ErrConnectionBroken for a status code that does not belong to a final response. With a 101, net/http
// hands the connection over and no longer closes it when the context ends, although no request asks for an upgrade.
func checkFinal(response *http.Response) error {
	if response.StatusCode < http.StatusOK || response.StatusCode > maxStatusCode {
		return errors.Wrapf(ErrConnectionBroken, "status code %d in place of a final response", response.StatusCode)
	}
	return nil
}

// maxFields bounds the fields of a head. Besides its bytes, which protocol.MaxHeaderBytes bounds, each field takes memory in
// every copy of the head: 64 KiB of short fields take 4 MB of a node while the response is passed on.
const maxFields = 1000

func countFields(header http.Header) int {
	count := 0
	for _, values := range header {
		count += len(values)
	}
	return count
}

// checkFieldNames returns an error if a name is not a token (RFC 9110, section 5.1). net/http takes names with blanks, and
// then does not know the field: with a blank before the colon of Transfer-Encoding or Content-Length, the body would be
// another than the upstream's.
func checkFieldNames(sections ...http.Header) error {
	for _, fields := range sections {
		for name := range fields {
			if !httpguts.ValidHeaderFieldName(name) {
				return errors.Newf("web: the name of the field %q is not a token", name)
			}
		}
	}
	return nil
}

// chunkedBody is the body of a response that may have a trailer.
type chunkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader. It returns io.EOF only if the trailer, which net/http reads at the end of the body, is
// well-formed.
func (b *chunkedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		if malformed := checkFieldNames(b.response.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}
