package batcher

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/scheduler"
)

// Limits of a job.
const (
	MaxItems       = 110_000
	MaxUploadBytes = 1 << 30
	MaxLineBytes   = 1 << 20
	// MaxDueIn is the longest time to the due time for which manifests are
	// designed.
	MaxDueIn = 7 * 24 * time.Hour

	chunkItems = 100
	// chunkBytes ends a chunk early, so that it fits into one message. A chunk
	// of a single item may be as large as a line.
	chunkBytes = 2 << 20
)

// Key prefixes in the platform.
const (
	cancelPrefix = "batch/cancels/"
	chunkPrefix  = "batch/chunks/"
	holderPrefix = "batch/holders/"
	jobPrefix    = "batch/jobs/"
	openPrefix   = "batch/open/"
)

// namePattern matches names that are safe in platform keys and folder names.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

// A State is the state of a job.
type State string

// The states of a job.
const (
	Running   State = "running"
	Cancelled State = "cancelled"
	Completed State = "completed"
)

// Counts holds the numbers of ended items of a job or chunk, and their tokens.
type Counts struct {
	Done      int   `json:"done"`
	Failed    int   `json:"failed,omitempty"`
	Cancelled int   `json:"cancelled,omitempty"` // Known only when the job is folded.
	Tokens    int64 `json:"tokens,omitempty"`
}

func (c *Counts) add(other Counts) {
	c.Done += other.Done
	c.Failed += other.Failed
	c.Cancelled += other.Cancelled
	c.Tokens += other.Tokens
}

// A Manifest is the record of a job in the platform.
type Manifest struct {
	Workspace  string    `json:"workspace"`
	Job        string    `json:"job"`
	Submission string    `json:"submission"` // Random ID; names the folder of the objects.
	Digest     string    `json:"digest"`     // Digest of the items, in hexadecimal.
	State      State     `json:"state"`
	Lane       string    `json:"lane"` // Lane of the first item.
	AcceptedAt time.Time `json:"accepted-at"`
	Due        time.Time `json:"due"`
	EndedAt    time.Time `json:"ended-at,omitzero"` // When the job was completed or cancelled.
	Items      int       `json:"items"`
	Chunks     []Chunk   `json:"-"`                // Stored as spans, see pack.
	Folded     bool      `json:"folded,omitempty"` // The chunk records were moved into Chunks.
	Counts     Counts    `json:"counts"`           // Stored only when folded; Status computes it otherwise.
}

// A Chunk is a part of a job that is claimed as a unit.
type Chunk struct {
	Items    int      `json:"items"`
	Replicas []string `json:"replicas"`          // Instances that store the items.
	Results  *Results `json:"results,omitempty"` // Set once the job is folded, if the chunk has results.
}

// A Span is a run of consecutive identical chunks. The manifest of a running job
// is read for each claim; with spans it takes a few hundred bytes, compared with
// 72 KB for 1,100 single chunks.
type Span struct {
	Count int `json:"count"`
	Chunk
}

// packedManifest is the stored form of a manifest.
type packedManifest struct {
	Manifest
	Spans []Span `json:"chunks"`
}

// pack returns the stored form of a manifest.
func (m Manifest) pack() []byte {
	packed := packedManifest{Manifest: m}
	for _, chunk := range m.Chunks {
		last := len(packed.Spans) - 1
		if last >= 0 && packed.Spans[last].matches(chunk) {
			packed.Spans[last].Count++
			continue
		}
		packed.Spans = append(packed.Spans, Span{Count: 1, Chunk: chunk})
	}
	return encode(packed)
}

// unpack is the inverse of pack.
func (m *Manifest) unpack(key string, value []byte) (err error) {
	var packed packedManifest
	if err = decode(key, value, &packed); err != nil {
		return err
	}
	*m = packed.Manifest
	for _, span := range packed.Spans {
		for range span.Count {
			m.Chunks = append(m.Chunks, span.Chunk)
		}
	}
	return nil
}

func (s Span) matches(c Chunk) bool {
	return s.Results == nil && c.Results == nil && s.Items == c.Items && slices.Equal(s.Replicas, c.Replicas)
}

// Results locates the stored results of a chunk.
type Results struct {
	Claim  string     `json:"claim"` // Claim ID that the object names contain.
	Parts  [][]string `json:"parts"` // Instances that store each part.
	Counts Counts     `json:"counts"`
}

// A ChunkState is the state of a chunk that has been claimed at least once.
type ChunkState string

// The states of a chunk. A chunk without a record was never claimed.
const (
	ChunkClaimed  ChunkState = "claimed"
	ChunkReleased ChunkState = "released" // Released before all items had ended.
	ChunkDone     ChunkState = "done"
)

// A ChunkRecord is the record of a chunk in the platform. The version of the
// record that made a claim is the epoch of the claim: every later write of the
// holder is conditional on it.
type ChunkRecord struct {
	State   ChunkState `json:"state"`
	Holder  string     `json:"holder"`            // Holder ID; the claim expires with its lease.
	Claim   string     `json:"claim"`             // Random ID; distinguishes otherwise equal writes of different claims.
	Results *Results   `json:"results,omitempty"` // All results if done, otherwise those of earlier holders.
}

// An OpenJob is an entry of the index of open (unfinished) jobs.
type OpenJob struct {
	Workspace  string    `json:"-"` // Part of the key.
	Job        string    `json:"-"` // Part of the key.
	Lane       string    `json:"lane"`
	AcceptedAt time.Time `json:"accepted-at"`
	Due        time.Time `json:"due"`
	Items      int       `json:"items"`
}

func (m Manifest) key() scheduler.Key {
	return scheduler.Key{Workspace: m.Workspace, Job: m.Job}
}

func (m Manifest) group() string {
	return strings.Join([]string{"jobs", m.Workspace, m.Job, m.Submission}, "/")
}

func (m Manifest) open() OpenJob {
	return OpenJob{
		Workspace: m.Workspace, Job: m.Job, Lane: m.Lane,
		AcceptedAt: m.AcceptedAt, Due: m.Due, Items: m.Items,
	}
}

func (m Manifest) inputName(chunk int) string {
	return fmt.Sprintf("%s/in-%05d", m.group(), chunk)
}

func (m Manifest) resultName(chunk int, claim string, part int) string {
	return fmt.Sprintf("%s/out-%05d-%s-%d", m.group(), chunk, claim, part)
}

func (j OpenJob) key() scheduler.Key {
	return scheduler.Key{Workspace: j.Workspace, Job: j.Job}
}

func jobKey(k scheduler.Key) string {
	return jobPrefix + k.Workspace + "/" + k.Job
}

func cancelKey(k scheduler.Key) string {
	return cancelPrefix + k.Workspace + "/" + k.Job
}

func chunksPrefix(k scheduler.Key) string {
	return chunkPrefix + k.Workspace + "/" + k.Job + "/"
}

func chunkKey(k scheduler.Key, chunk int) string {
	return chunksPrefix(k) + fmt.Sprintf("%05d", chunk)
}

func parseChunkKey(key string) (chunk int, ok bool) {
	chunk, err := strconv.Atoi(key[strings.LastIndexByte(key, '/')+1:])
	return chunk, err == nil && chunk >= 0
}

// openKey starts with a hash, so that a listing can cover a part of the index.
func openKey(k scheduler.Key) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(k.Workspace + "/" + k.Job))
	sum := h.Sum32()
	return fmt.Sprintf("%s%04x/%s/%s", openPrefix, uint16(sum^sum>>16), k.Workspace, k.Job)
}

// parseKey extracts workspace and job from the end of a key.
func parseKey(key string) (k scheduler.Key, ok bool) {
	segments := strings.Split(key, "/")
	if len(segments) < 2 {
		return scheduler.Key{}, false
	}
	return scheduler.Key{Workspace: segments[len(segments)-2], Job: segments[len(segments)-1]}, true
}

// parseGroup is the inverse of Manifest.group.
func parseGroup(group string) (k scheduler.Key, submission string, ok bool) {
	segments := strings.Split(group, "/")
	if len(segments) != 4 || segments[0] != "jobs" {
		return scheduler.Key{}, "", false
	}
	return scheduler.Key{Workspace: segments[1], Job: segments[2]}, segments[3], true
}

// encode returns the JSON of a record. Records are plain data, so encoding cannot
// fail.
func encode(record any) []byte {
	data, err := json.Marshal(record)
	if err != nil {
		panic(merry.Prepend(err, "encoding a record"))
	}
	return data
}

func decode(key string, data []byte, record any) error {
	return merry.Prependf(json.Unmarshal(data, record), "decoding %s", key)
}
