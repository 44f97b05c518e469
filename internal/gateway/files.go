package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"topazpulley/internal/batch"
	"topazpulley/internal/failure"
)

const (
	fileTimeout      = 2 * time.Minute
	outputFilePrefix = "output-"
	errorFilePrefix  = "errors-"
	filePrefix       = "file-"
	contentSuffix    = "/content"
	purposeBatch     = "batch"
)

// fileObject is the OpenAI description of a file.
type fileObject struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int    `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
}

// files handles uploads and reads. It returns true if a stream writer will call
// finish.
func (c *caller) files(rest string) bool {
	switch {
	case rest == "" && c.call.IsPost():
		c.uploadFile()
	case strings.HasSuffix(rest, contentSuffix) && c.call.IsGet():
		return c.readFile(strings.TrimSuffix(rest, contentSuffix))
	case rest != "" && c.call.IsGet():
		c.describeFile(rest)
	default:
		c.gateway.writeFailure(c.call, failure.New(failure.KindNotFound, "no_path", "files are uploaded by POST /v1/files and read by GET /v1/files/{id}/content").WithNotRun())
	}
	return false
}

func (c *caller) uploadFile() {
	content, name, err := c.fileContent()
	if err != nil {
		c.gateway.writeFailure(c.call, err)
		return
	}
	if !c.gateway.Platform.Available() {
		c.gateway.writeFailure(c.call, platformDown(nil))
		return
	}
	id := filePrefix + ulid.Make().String()
	ctx, cancel := context.WithTimeout(c.gateway.lifetime, recordTimeout)
	defer cancel()
	if err := c.gateway.Platform.Put(ctx, batch.FileObject(c.tenant, id), content); err != nil {
		c.gateway.writeFailure(c.call, platformDown(err))
		return
	}
	writeJSON(c.call, fileObject{ID: id, Object: "file", Bytes: len(content), CreatedAt: time.Now().Unix(), Filename: name, Purpose: purposeBatch})
}

// fileContent returns the content and the name of the file in a multipart form, or
// the request body if it is not a form.
func (c *caller) fileContent() ([]byte, string, error) {
	if !strings.HasPrefix(string(c.call.Request.Header.ContentType()), "multipart/form-data") {
		return append([]byte(nil), c.call.PostBody()...), "upload.jsonl", nil
	}
	form, err := c.call.MultipartForm()
	if err != nil || len(form.File["file"]) != 1 {
		return nil, "", failure.New(failure.KindInvalid, "bad_form", "send one part named \"file\"").WithNotRun()
	}
	part := form.File["file"][0]
	opened, err := part.Open()
	if err != nil {
		return nil, "", failure.Wrap(err, failure.KindInvalid, "bad_form", "the file part cannot be read").WithNotRun()
	}
	defer func() { _ = opened.Close() }()
	content := bytes.Buffer{}
	if _, err := content.ReadFrom(opened); err != nil {
		return nil, "", failure.Wrap(err, failure.KindInvalid, "bad_form", "the file part cannot be read").WithNotRun()
	}
	return content.Bytes(), part.Filename, nil
}

func (c *caller) describeFile(id string) {
	writeJSON(c.call, fileObject{ID: id, Object: "file", Filename: id + ".jsonl", Purpose: purposeBatch})
}

// readFile sends an uploaded file or a job's results. It returns true if a stream
// writer will call finish.
func (c *caller) readFile(id string) bool {
	for _, prefix := range []string{outputFilePrefix, errorFilePrefix} {
		if job, isResults := strings.CutPrefix(id, prefix); isResults {
			return c.readResults(job, prefix == errorFilePrefix)
		}
	}
	ctx, cancel := context.WithTimeout(c.gateway.lifetime, recordTimeout)
	defer cancel()
	content, err := c.readUpload(ctx, id)
	if err != nil {
		c.gateway.writeFailure(c.call, err)
		return false
	}
	c.call.SetContentType("application/jsonl")
	c.call.SetBody(content)
	return false
}

// readUpload reads an uploaded file of the caller's tenant. An id that uploadFile
// cannot have issued, such as a path, does not exist.
func (c *caller) readUpload(ctx context.Context, id string) ([]byte, error) {
	given, hasPrefix := strings.CutPrefix(id, filePrefix)
	if _, err := ulid.ParseStrict(given); err != nil || !hasPrefix {
		return nil, failure.New(failure.KindNotFound, "no_file", "file %q does not exist: upload it first", id).WithNotRun()
	}
	return c.gateway.Platform.GetObject(ctx, batch.FileObject(c.tenant, id))
}

// readResults streams the committed results of a job: the completed items, or the
// failed ones if wantErrors is set. It returns true if a stream writer will call
// finish.
func (c *caller) readResults(id string, wantErrors bool) bool {
	if _, err := c.ownJob(id); err != nil {
		c.gateway.writeFailure(c.call, err)
		return false
	}
	gateway, finish := c.gateway, c.finish
	c.call.SetContentType("application/jsonl")
	c.streamBody(func(output *bufio.Writer) error {
		defer finish()
		ctx, cancel := context.WithTimeout(gateway.lifetime, fileTimeout)
		defer cancel()
		err := gateway.Store.EachResult(ctx, id, func(line []byte) error { return writeResult(output, line, wantErrors) })
		if err != nil {
			gateway.Logger.Warn("results_read_failed", "job", id, "error", err)
			writeEvent(output, ErrorBody{Error: failure.From(err)})
		}
		return nil
	})
	return true
}

// writeResult writes a result line if it is of the wanted kind.
func writeResult(output *bufio.Writer, line []byte, wantErrors bool) error {
	result := batch.ResultLine{}
	if err := json.Unmarshal(line, &result); err != nil {
		return failure.Wrap(err, failure.KindInternal, "bad_result", "a stored result is corrupt")
	}
	if (result.Error != nil) != wantErrors {
		return nil
	}
	_, _ = output.Write(line)
	if err := output.WriteByte('\n'); err != nil {
		return failure.Wrap(err, failure.KindCancelled, "caller_left", "the caller closed the connection")
	}
	return nil
}

// ownJob reads a job of the caller's tenant. A job of another tenant is reported as
// not found.
func (c *caller) ownJob(id string) (batch.Job, error) {
	ctx, cancel := context.WithTimeout(c.gateway.lifetime, recordTimeout)
	defer cancel()
	job, _, err := c.gateway.Store.Job(ctx, id)
	if err == nil && job.Tenant != c.tenant {
		err = failure.New(failure.KindNotFound, "no_job", "job %s does not exist", id)
	}
	return job, err
}
