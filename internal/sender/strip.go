package sender

import (
	"net/url"
	"slices"
	"strings"
)

// requestHeaders are the header fields that pass from the caller to a backend
// server, in lower case and sorted. Everything else stays here, cookies and
// keys among it.
var requestHeaders = []string{
	"accept",
	"accept-language",
	"content-type",
	"idempotency-key",
	"if-match",
	"if-modified-since",
	"if-none-match",
	"range",
	"traceparent",
	"tracestate",
	"x-request-id",
}

// keyParameters are the query parameters in which callers put keys, in lower
// case.
var keyParameters = []string{"access_token", "api-key", "api_key", "key", "token"}

// StripHeader keeps the fields that pass to backend servers.
func StripHeader(header []Field) []Field {
	kept := make([]Field, 0, len(header))
	for _, f := range header {
		if _, ok := slices.BinarySearch(requestHeaders, strings.ToLower(f.Name)); ok {
			kept = append(kept, f)
		}
	}
	return kept
}

// StripQuery removes the parameters that carry keys. The others stay as they
// were written.
func StripQuery(query string) string {
	if query == "" {
		return ""
	}
	var kept []string
	for parameter := range strings.SplitSeq(query, "&") {
		if !isKeyParameter(parameter) {
			kept = append(kept, parameter)
		}
	}
	return strings.Join(kept, "&")
}

func isKeyParameter(parameter string) bool {
	name, _, _ := strings.Cut(parameter, "=")
	if decoded, err := url.QueryUnescape(name); err == nil {
		name = decoded
	}
	return slices.Contains(keyParameters, strings.ToLower(strings.TrimSpace(name)))
}

// QueryValues are the decoded values of a query, for the search of keys.
func QueryValues(query string) []string {
	var values []string
	for parameter := range strings.SplitSeq(query, "&") {
		_, value, _ := strings.Cut(parameter, "=")
		if decoded, err := url.QueryUnescape(value); err == nil {
			value = decoded
		}
		values = append(values, value)
	}
	return values
}
