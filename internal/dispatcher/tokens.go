package dispatcher

import (
	"bytes"
	"encoding/json"
)

// bytesPerToken estimates the token count if the engine reports none.
const bytesPerToken = 4

// A usageReport is the part of an answer that reports token usage.
type usageReport struct {
	Usage struct {
		TotalTokens int `json:"total_tokens"`
	} `json:"usage"`
}

// countTokens returns the token usage of an item as reported by the engine, or
// an estimate from the lengths of the request and answer.
func countTokens(request, answer []byte) int {
	if n := reportedTokens(answer); n > 0 {
		return n
	}
	return (len(request) + len(answer)) / bytesPerToken
}

// reportedTokens returns the usage of a non-streaming answer, or of the last
// stream event that reports one.
func reportedTokens(answer []byte) int {
	var report usageReport
	if json.Unmarshal(answer, &report) == nil {
		return report.Usage.TotalTokens
	}
	n := 0
	for line := range bytes.Lines(answer) {
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data:"))
		if !ok || !bytes.Contains(data, []byte(`"usage"`)) {
			continue
		}
		var report usageReport
		if json.Unmarshal(data, &report) == nil && report.Usage.TotalTokens > 0 {
			n = report.Usage.TotalTokens
		}
	}
	return n
}
