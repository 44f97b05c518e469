// Package client is an HTTP client for the caller and operator APIs of a topazpulley
// daemon.
package client

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"topazpulley/internal/failure"
	"topazpulley/internal/gateway"
	"topazpulley/internal/httphead"
	"topazpulley/internal/quarantine"
	"topazpulley/internal/revision"
)

const (
	callTimeout  = 30 * time.Second
	maxEventLine = 1 << 20
	maxConns     = 4096
)

// Client calls one daemon with one API key or the operator token.
type Client struct {
	// BaseURL is the daemon's address, such as "http://127.0.0.1:8080".
	BaseURL string
	// Key is a tenant's API key or the operator token.
	Key  string
	http *fasthttp.Client
}

// New returns a client.
func New(baseURL, key string) *Client {
	made := &Client{
		BaseURL: strings.TrimSuffix(baseURL, "/"), Key: key,
		http: &fasthttp.Client{StreamResponseBody: true, MaxConnsPerHost: maxConns, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true},
	}
	if strings.HasPrefix(baseURL, "http://") {
		made.http.Dial = httphead.CheckedDial(fasthttp.Dial)
	}
	return made
}

// Header is one extra request header.
type Header struct{ Name, Value string }

// do sends a request and returns the response with its body unread. The caller
// releases the response.
func (c *Client) do(method, path string, body []byte, timeout time.Duration, headers ...Header) (*fasthttp.Response, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	request.Header.SetMethod(method)
	request.SetRequestURI(c.BaseURL + path)
	request.Header.Set("Authorization", "Bearer "+c.Key)
	request.Header.SetContentType("application/json")
	for _, header := range headers {
		request.Header.Set(header.Name, header.Value)
	}
	request.SetBodyRaw(body)
	err := c.http.DoDeadline(request, response, time.Now().Add(timeout))
	if err == nil {
		err = httphead.CheckFraming(&response.Header) // daemons frame all their answers
	}
	if err != nil {
		fasthttp.ReleaseResponse(response)
		return nil, failure.Wrap(err, failure.KindUnavailable, "daemon_unreachable", "no answer from %s", c.BaseURL)
	}
	return response, nil
}

// Call sends a request and returns the body of the answer. If the daemon answered
// with an error, Call returns that *failure.Error.
func (c *Client) Call(method, path string, body []byte, headers ...Header) ([]byte, error) {
	response, err := c.do(method, path, body, callTimeout, headers...)
	if err != nil {
		return nil, err
	}
	defer fasthttp.ReleaseResponse(response)
	content, err := io.ReadAll(response.BodyStream())
	if err != nil {
		return nil, failure.Wrap(err, failure.KindUnavailable, "answer_broken", "the connection broke before the end of the answer")
	}
	if response.StatusCode() >= fasthttp.StatusBadRequest {
		return nil, decodeFailure(response, content)
	}
	return content, nil
}

func decodeFailure(response *fasthttp.Response, content []byte) error {
	body := gateway.ErrorBody{}
	if json.Unmarshal(content, &body) != nil || body.Error == nil {
		return failure.New(failure.KindInternal, "bad_answer", "the daemon answered status %d without a typed error", response.StatusCode())
	}
	if seconds, err := strconv.Atoi(string(response.Header.Peek("Retry-After"))); err == nil {
		body.Error.RetryAfter = time.Duration(seconds) * time.Second
	}
	return body.Error
}

// callJSON sends a request as JSON and decodes the JSON answer. A nil request has no
// body.
func callJSON[A any](c *Client, method, path string, request any, headers ...Header) (A, error) {
	var answer A
	var body []byte
	if request != nil {
		encoded, err := json.Marshal(request)
		if err != nil {
			return answer, failure.Wrap(err, failure.KindInternal, "encode", "cannot encode the request")
		}
		body = encoded
	}
	content, err := c.Call(method, path, body, headers...)
	if err != nil {
		return answer, err
	}
	if err := json.Unmarshal(content, &answer); err != nil {
		return answer, failure.Wrap(err, failure.KindInternal, "bad_answer", "the daemon's answer cannot be decoded")
	}
	return answer, nil
}

// Change requests a new configuration revision.
func (c *Client) Change(request gateway.ChangeRequest) (revision.Revision, error) {
	return callJSON[revision.Revision](c, fasthttp.MethodPost, gateway.PathRevisions, request)
}

// History reads the newest revisions.
func (c *Client) History() ([]revision.Revision, error) {
	return callJSON[[]revision.Revision](c, fasthttp.MethodGet, gateway.PathHistory, nil)
}

// Status reads the daemon's status.
func (c *Client) Status() (gateway.Status, error) {
	return callJSON[gateway.Status](c, fasthttp.MethodGet, gateway.PathStatus, nil)
}

// Quarantined lists the quarantined requests.
func (c *Client) Quarantined() (quarantine.Listing, error) {
	return callJSON[quarantine.Listing](c, fasthttp.MethodGet, quarantine.PathAdmin, nil)
}

// LiftQuarantine ends the quarantine of a request.
func (c *Client) LiftQuarantine(fingerprint string) error {
	_, err := callJSON[quarantine.Listing](c, fasthttp.MethodDelete, quarantine.PathAdmin+"/"+fingerprint, nil)
	return err
}

// BundleText reads the text of a stored bundle.
func (c *Client) BundleText(digest string) (gateway.BundleText, error) {
	return callJSON[gateway.BundleText](c, fasthttp.MethodGet, gateway.PathBundle+"?digest="+digest, nil)
}

// File is an uploaded file.
type File struct {
	ID string `json:"id"`
}

// Batch is a batch job in the callers' API.
type Batch struct {
	ID            string `json:"id"`
	Status        string `json:"status"`
	OutputFileID  string `json:"output_file_id"`
	ErrorFileID   string `json:"error_file_id"`
	RequestCounts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// Ended reports whether the job is completed or cancelled.
func (b Batch) Ended() bool { return b.Status == "completed" || b.Status == "cancelled" }

// Upload stores a JSONL file.
func (c *Client) Upload(content []byte) (File, error) {
	file := File{}
	body, err := c.Call(fasthttp.MethodPost, "/v1/files", content)
	if err != nil {
		return file, err
	}
	if err := json.Unmarshal(body, &file); err != nil {
		return file, failure.Wrap(err, failure.KindInternal, "bad_answer", "the daemon's answer is not a file")
	}
	return file, nil
}

// batchRequest is the body of a request that creates a job.
type batchRequest struct {
	InputFileID string `json:"input_file_id"`
	Endpoint    string `json:"endpoint"`
}

// CreateBatch creates a job, or returns the one that was created with the same
// idempotency key.
func (c *Client) CreateBatch(fileID, endpoint, key string) (Batch, error) {
	return callJSON[Batch](c, fasthttp.MethodPost, "/v1/batches", batchRequest{InputFileID: fileID, Endpoint: endpoint}, Header{gateway.HeaderIdempotencyKey, key})
}

// Batch reads a job.
func (c *Client) Batch(id string) (Batch, error) {
	return callJSON[Batch](c, fasthttp.MethodGet, "/v1/batches/"+id, nil)
}

// CancelBatch cancels a job.
func (c *Client) CancelBatch(id string) (Batch, error) {
	return callJSON[Batch](c, fasthttp.MethodPost, "/v1/batches/"+id+"/cancel", nil)
}

// FileContent reads an uploaded or a result file.
func (c *Client) FileContent(id string) ([]byte, error) {
	return c.Call(fasthttp.MethodGet, "/v1/files/"+id+"/content", nil)
}

// Completion is a request to complete a prompt.
type Completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// streamEvent is one chunk of a streamed completion, or its error.
type streamEvent struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error *failure.Error `json:"error"`
}

// Stream requests a streamed completion and passes each piece of text to deliver.
// An answer without its end marker is an error.
func (c *Client) Stream(request Completion, timeout time.Duration, deliver func(text string), headers ...Header) error {
	request.Stream = true
	encoded, err := json.Marshal(request)
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "encode", "cannot encode the request")
	}
	response, err := c.do(fasthttp.MethodPost, "/v1/completions", encoded, timeout, headers...)
	if err != nil {
		return err
	}
	defer fasthttp.ReleaseResponse(response)
	if response.StatusCode() >= fasthttp.StatusBadRequest {
		content, _ := io.ReadAll(response.BodyStream())
		return decodeFailure(response, content)
	}
	return readStream(response.BodyStream(), deliver)
}

func readStream(input io.Reader, deliver func(text string)) error {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 0, 4096), maxEventLine)
	for scanner.Scan() {
		data, isData := strings.CutPrefix(scanner.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			_, _ = io.Copy(io.Discard, input)
			return nil
		}
		event := streamEvent{}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return failure.Wrap(err, failure.KindInternal, "bad_answer", "a chunk is not JSON")
		}
		if event.Error != nil {
			return event.Error
		}
		if len(event.Choices) > 0 && event.Choices[0].Text != "" {
			deliver(event.Choices[0].Text)
		}
	}
	return failure.New(failure.KindOutcomeUnknown, "answer_broken", "the answer ended without its end marker")
}
