package batcher

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"io"
	"net/http"
	"net/url"
	"strings"
	"unicode/utf8"

	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

const (
	maxCustomIDBytes = 256
	maxURLBytes      = 2048
	maxQuotedBytes   = 200 // Length of caller text that is quoted in an error.
)

// A LineError describes an invalid line of an upload. The job was not accepted.
type LineError struct {
	Line   int // From 1; zero if the error concerns the upload as a whole.
	Reason string
}

// Error implements error.
func (e *LineError) Error() string {
	if e.Line == 0 {
		return e.Reason
	}
	return fmt.Sprintf("line %d: %s", e.Line, e.Reason)
}

// errKeyInItem means that a line contains the API key of the request.
var errKeyInItem = errors.New("the line contains the key of the request")

// A Decoder reads the items of an upload: JSON lines with custom_id, method
// (default POST), url and body. It keeps in memory one line of at most
// MaxLineBytes and a 16-byte digest of each custom_id.
type Decoder struct {
	r      *bufio.Reader
	key    []byte // Must not occur in any line; empty if there is none.
	line   int
	items  int
	seen   map[[16]byte]int32 // Line of each custom_id, by digest.
	digest hash.Hash
}

// NewDecoder returns a Decoder that rejects lines containing key.
func NewDecoder(r io.Reader, key string) *Decoder {
	return &Decoder{
		r:      bufio.NewReaderSize(r, MaxLineBytes+1),
		key:    []byte(key),
		seen:   make(map[[16]byte]int32),
		digest: sha256.New(),
	}
}

// Items returns the number of items read so far.
func (d *Decoder) Items() int {
	return d.items
}

// Digest returns the hexadecimal digest of the items read so far. White space
// outside of strings does not change it.
func (d *Decoder) Digest() string {
	return hex.EncodeToString(d.digest.Sum(nil))
}

// Next returns the next item, or io.EOF after the last one. Other errors are a
// *LineError, errKeyInItem or an error of the reader.
func (d *Decoder) Next() (item Item, err error) {
	for {
		line, terminated, err := d.readLine()
		if err != nil {
			return Item{}, err
		}
		if len(bytes.TrimSpace(line)) == 0 {
			if !terminated {
				return Item{}, d.endError()
			}
			continue
		}
		if d.items >= MaxItems {
			return Item{}, d.lineError("the job has more than %d items", MaxItems)
		}
		item, err = d.parse(line, terminated)
		if err != nil {
			return Item{}, err
		}
		d.items++
		d.updateDigest(item)
		return item, nil
	}
}

// endError returns io.EOF, or an error if the upload has no items.
func (d *Decoder) endError() error {
	if d.items == 0 {
		return &LineError{Reason: "the job has no items"}
	}
	return io.EOF
}

// readLine returns a line that is valid until the next call. terminated is false
// for a last line without a line feed.
func (d *Decoder) readLine() (line []byte, terminated bool, err error) {
	d.line++
	line, err = d.r.ReadSlice('\n')
	switch {
	case err == nil:
		return line, true, nil
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, false, d.lineError("the line is longer than %d bytes", MaxLineBytes)
	case errors.Is(err, io.EOF):
		return line, false, nil
	}
	return nil, false, err
}

// uploadLine is the JSON form of a line.
type uploadLine struct {
	CustomID *string         `json:"custom_id"`
	Method   string          `json:"method"`
	URL      *string         `json:"url"`
	Body     json.RawMessage `json:"body"`
}

func (d *Decoder) parse(line []byte, terminated bool) (item Item, err error) {
	if len(d.key) > 0 && bytes.Contains(line, d.key) {
		return Item{}, fmt.Errorf("line %d: %w", d.line, errKeyInItem)
	}
	if !utf8.Valid(line) {
		return Item{}, d.lineError("the line is not valid UTF-8")
	}
	var read uploadLine
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err = decoder.Decode(&read); err != nil {
		if !terminated && errors.Is(err, io.ErrUnexpectedEOF) {
			return Item{}, d.lineError("the last line is truncated")
		}
		return Item{}, d.lineError("the line is not a valid item: %s", truncate(err.Error()))
	}
	if _, err = decoder.Token(); !errors.Is(err, io.EOF) {
		return Item{}, d.lineError("the line goes on after its JSON object")
	}
	return d.validate(read)
}

func (d *Decoder) validate(read uploadLine) (item Item, err error) {
	switch {
	case read.CustomID == nil || *read.CustomID == "":
		return Item{}, d.lineError("custom_id is missing")
	case len(*read.CustomID) > maxCustomIDBytes:
		return Item{}, d.lineError("custom_id is longer than %d bytes", maxCustomIDBytes)
	case read.URL == nil:
		return Item{}, d.lineError("url is missing")
	case !validURL(*read.URL):
		return Item{}, d.lineError("url %q is not a path with an optional query", truncate(*read.URL))
	}
	item = Item{CustomID: *read.CustomID, Method: read.Method, URL: *read.URL}
	switch item.Method {
	case "":
		item.Method = http.MethodPost
	case http.MethodGet, http.MethodPost:
	default:
		return Item{}, d.lineError("method %q is neither GET nor POST", truncate(item.Method))
	}
	if item.Body, err = d.compactBody(read.Body); err != nil {
		return Item{}, err
	}
	if len(item.Body) == 0 && item.Method == http.MethodPost {
		return Item{}, d.lineError("body is missing")
	}
	return item, d.checkUnique(item.CustomID)
}

// compactBody returns the body without white space outside of strings.
func (d *Decoder) compactBody(body json.RawMessage) (compact []byte, err error) {
	if len(body) == 0 || string(body) == "null" {
		return nil, nil
	}
	if body[0] != '{' {
		return nil, d.lineError("body is not a JSON object")
	}
	var out bytes.Buffer
	if err = json.Compact(&out, body); err != nil {
		return nil, d.lineError("body is not valid JSON")
	}
	return out.Bytes(), nil
}

func (d *Decoder) checkUnique(customID string) error {
	sum := sha256.Sum256([]byte(customID))
	short := [16]byte(sum[:])
	if first, ok := d.seen[short]; ok {
		return d.lineError("custom_id %q was used in line %d", truncate(customID), first)
	}
	d.seen[short] = int32(d.line)
	return nil
}

// updateDigest adds an item to the digest. Each field is prefixed by its length,
// so that different items cannot produce the same input.
func (d *Decoder) updateDigest(item Item) {
	for _, field := range [][]byte{[]byte(item.CustomID), []byte(item.Method), []byte(item.URL), item.Body} {
		_ = binary.Write(d.digest, binary.BigEndian, uint32(len(field)))
		_, _ = d.digest.Write(field)
	}
}

func (d *Decoder) lineError(format string, args ...any) error {
	return &LineError{Line: d.line, Reason: fmt.Sprintf(format, args...)}
}

func validURL(s string) bool {
	if len(s) > maxURLBytes || !strings.HasPrefix(s, "/") || strings.HasPrefix(s, "//") || strings.Contains(s, "#") {
		return false
	}
	_, err := url.ParseRequestURI(s)
	return err == nil
}

func truncate(s string) string {
	if len(s) <= maxQuotedBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxQuotedBytes], "") + "..."
}

// uploadRefusal converts an error of a Decoder to a refusal.
func uploadRefusal(err error) (refusal *refuser.Refusal) {
	if errors.As(err, &refusal) {
		return refusal // Of the reader.
	}
	refusal = &refuser.Refusal{
		Code: refuser.BadRequest, Message: err.Error(),
		Outcome: refuser.NotRun, Status: http.StatusBadRequest,
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errKeyInItem):
		refusal.Code = refuser.KeyInBody
	case errors.As(err, &tooLarge):
		refusal.Code = refuser.BodyTooLarge
		refusal.Status = http.StatusRequestEntityTooLarge
		refusal.Message = fmt.Sprintf("the upload is larger than %d bytes", tooLarge.Limit)
	}
	return refusal
}
