package commander

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/receiver"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// maxAnswerBytes bounds an answer other than results.
const maxAnswerBytes = 1 << 20

// A jobClient calls the batch job HTTP API of an entry.
type jobClient struct {
	baseURL string // Scheme and address.
	key     string
}

func (f JobFlags) client() (client *jobClient, err error) {
	key := f.Key
	if f.KeyFile != "" {
		data, err := os.ReadFile(f.KeyFile)
		if err != nil {
			return nil, merry.Prepend(err, "key")
		}
		key = string(data)
	}
	if key = strings.TrimSpace(key); key == "" {
		return nil, merry.New("a key is needed in QUETZALHITCH_KEY or in --key-file")
	}
	base := f.Entry
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	return &jobClient{baseURL: strings.TrimSuffix(base, "/"), key: key}, nil
}

func (c *jobClient) submit(
	ctx context.Context, job string, dueIn time.Duration, upload io.Reader, size int64,
) (report receiver.JobReport, err error) {
	query := url.Values{"due-in": {dueIn.String()}}
	r, err := c.request(ctx, http.MethodPut, job, "?"+query.Encode(), upload)
	if err != nil {
		return receiver.JobReport{}, err
	}
	r.ContentLength = size
	return c.report(r, "the job may have been accepted; submit it again, it does not run twice")
}

func (c *jobClient) status(ctx context.Context, job string) (report receiver.JobReport, err error) {
	r, err := c.request(ctx, http.MethodGet, job, "", nil)
	if err != nil {
		return receiver.JobReport{}, err
	}
	return c.report(r, "")
}

func (c *jobClient) cancel(ctx context.Context, job string) (report receiver.JobReport, err error) {
	r, err := c.request(ctx, http.MethodPost, job, "/cancel", nil)
	if err != nil {
		return receiver.JobReport{}, err
	}
	return c.report(r, "the job may have been cancelled; cancel it again")
}

// results copies the results of a job to w. A truncated stream is an error.
func (c *jobClient) results(ctx context.Context, job string, w io.Writer) (err error) {
	r, err := c.request(ctx, http.MethodGet, job, "/results", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return refusalError(response, "")
	}
	_, err = io.Copy(w, response.Body)
	return merry.Prepend(err, "the results are incomplete")
}

func (c *jobClient) request(
	ctx context.Context, method, job, rest string, body io.Reader,
) (r *http.Request, err error) {
	r, err = http.NewRequestWithContext(ctx, method, c.baseURL+"/v1/batches/"+url.PathEscape(job)+rest, body)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	return r, nil
}

// report sends a request that is answered with a report. The advice is added to
// the error when the effect of the request is in doubt; it is empty for a
// request without an effect.
func (c *jobClient) report(r *http.Request, advice string) (report receiver.JobReport, err error) {
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return receiver.JobReport{}, inDoubt(err, advice)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return receiver.JobReport{}, refusalError(response, advice)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&report)
	if err != nil {
		return receiver.JobReport{}, inDoubt(merry.Prepend(err, "the answer is not a report"), advice)
	}
	return report, nil
}

// refusalError returns the refusal in an answer as an error.
func refusalError(response *http.Response, advice string) error {
	refusal := &refuser.Refusal{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(refusal); err != nil {
		return inDoubt(merry.Errorf("the entry answered with %s", response.Status), advice)
	}
	if refusal.Outcome == refuser.Unknown {
		return inDoubt(refusal, advice)
	}
	return refusal
}

func inDoubt(err error, advice string) error {
	if advice == "" {
		return err
	}
	return &exitError{code: exitInDoubt, err: merry.Append(err, advice)}
}
