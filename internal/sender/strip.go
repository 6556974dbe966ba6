package sender

import (
	"net/url"
	"slices"
	"strings"
)

// requestHeaders are the header fields that are forwarded from the caller to a
// backend server, in lower case and sorted. All others are dropped, including
// cookies and keys.
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

// keyParameters are the query parameters in which callers send API keys, in lower
// case.
var keyParameters = []string{"access_token", "api-key", "api_key", "key", "token"}

// FilterHeader returns the fields that are forwarded to backend servers.
func FilterHeader(header []Field) []Field {
	kept := make([]Field, 0, len(header))
	for _, f := range header {
		if _, ok := slices.BinarySearch(requestHeaders, strings.ToLower(f.Name)); ok {
			kept = append(kept, f)
		}
	}
	return kept
}

// StripQuery removes the parameters that carry keys. The others are not changed.
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

// QueryValues returns the decoded values of a query, in which the caller searches
// for keys.
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
