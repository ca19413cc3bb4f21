package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
)

// identityEncoding makes net/http send a request without Transfer-Encoding and without its own Content-Length.
const identityEncoding = "identity"

const asciiDelete = 0x7f

// newRequest builds the request that is sent to the server.
//
// Its body is never nil and has no GetBody. http.Transport retries a request on another connection when its body is
// absent or can be read again; it also considers a POST with an Idempotency-Key safe to retry. Whether a request may
// be retried is decided by the caller of Exchange, from the evidence.
func (f *Forwarder) newRequest(ctx context.Context, options ExchangeOptions) (*http.Request, error) {
	target, err := parsePath(options.Request.Path)
	if err != nil {
		return nil, err
	}
	request := &http.Request{
		Method: options.Request.Method,
		URL: &url.URL{
			Scheme: "http", Host: options.Server.Address,
			Path: target.Path, RawPath: target.RawPath, RawQuery: target.RawQuery, ForceQuery: target.ForceQuery,
		},
		Host:       options.Server.Address,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     f.requestHeader(ctx, options),
		Body:       io.NopCloser(bytes.NewReader(options.Request.Body)),
	}
	request.ContentLength = int64(len(options.Request.Body))
	if request.ContentLength == 0 {
		sendWithoutBody(request)
	}
	return request.WithContext(ctx), nil
}

// parsePath parses a path with a query. It rejects control characters, and spaces, which net/url accepts in a query but
// which would end the path in the request line.
func parsePath(path string) (*url.URL, error) {
	for i := range len(path) {
		if path[i] <= ' ' || path[i] == asciiDelete {
			return nil, errors.New("request path contains a space or a control character")
		}
	}
	target, err := url.ParseRequestURI(path)
	return target, errors.Wrap(err, "parse request path")
}

// sendWithoutBody makes net/http send no body although Body is not nil. For methods whose requests usually have a
// body it adds a Content-Length of 0, under a lower-case name that net/http does not remove.
func sendWithoutBody(request *http.Request) {
	request.TransferEncoding = []string{identityEncoding}
	switch request.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		request.Header["content-length"] = []string{"0"}
	}
}

func (f *Forwarder) requestHeader(ctx context.Context, options ExchangeOptions) http.Header {
	header := endToEnd(options.Request.Header)
	header.Del(headerLength)
	header.Del(HeaderTimeout)
	header.Del(HeaderDeadline)
	header.Del(HeaderRelayed)
	if !options.Deadline.IsZero() {
		header.Set(HeaderDeadline, options.Deadline.UTC().Format(time.RFC3339Nano))
	}
	if options.RelayedBy != "" {
		header.Set(HeaderRelayed, string(options.RelayedBy))
	}
	if _, ok := header[headerUserAgent]; !ok {
		// An empty value prevents net/http from adding its own User-Agent.
		header[headerUserAgent] = []string{""}
	}
	f.injectTraceContext(ctx, header)
	return header
}
