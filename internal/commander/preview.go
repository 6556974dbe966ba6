package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/previewer"
	"github.com/quetzalhitch/quetzalhitch/platform"
)

const (
	// previewTimeout bounds the call of an instance.
	previewTimeout = 5 * time.Second
	// maxPreviewBytes bounds the answer; one of 3,000 servers has some 600 KB.
	maxPreviewBytes = 8 << 20
)

// PreviewFlags name a request that a running instance is to explain.
type PreviewFlags struct {
	Instance  string `arg:"--instance" placeholder:"HOST:PORT" help:"metrics address of a running instance, which explains where a request would go now"`
	Host      string `arg:"--host" help:"host of the request"`
	Path      string `arg:"--path" help:"path of the request, or of an item of a batch job"`
	Workspace string `arg:"--workspace" help:"workspace of the request"`
	Key       string `arg:"--,env:QUETZALHITCH_KEY" help:"key of the workspace, in place of its name"`
	JSON      bool   `arg:"--json" help:"print JSON"`
}

func (f PreviewFlags) run(stdout io.Writer) (err error) {
	defer func() { err = merry.Prependf(err, "ask instance %s", f.Instance) }()
	ctx, cancel := context.WithTimeout(context.Background(), previewTimeout)
	defer cancel()
	query := url.Values{"host": {f.Host}, "path": {f.Path}, "workspace": {f.Workspace}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.Instance+platform.PathExplain+"?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	if f.Workspace == "" && f.Key != "" {
		request.Header.Set(platform.KeyField, f.Key)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return merry.Prepend(err, "the instance does not answer")
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxPreviewBytes))
	switch {
	case err != nil:
		return err
	case answer.StatusCode != http.StatusOK:
		return merry.Errorf("status %d", answer.StatusCode)
	case f.JSON:
		_, err = stdout.Write(data)
		return err
	}
	var preview previewer.Preview
	if err := json.Unmarshal(data, &preview); err != nil {
		return fmt.Errorf("decode the answer: %w", err)
	}
	return previewer.Write(stdout, preview)
}
