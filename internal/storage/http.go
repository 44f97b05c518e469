package storage

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"topazpulley/internal/failure"
	"topazpulley/internal/httphead"
)

// Paths of the platform's HTTP protocol.
const (
	PathTransact = "/table/transact"
	PathRow      = "/table/row"
	PathScan     = "/table/scan"
	PathObjects  = "/objects/"
	PathMachines = "/machines"
)

const (
	defaultCallTimeout = 3 * time.Second
	// MaxObjectBytes limits the content of an object.
	MaxObjectBytes = 256 << 20
	// maxRowsBytes limits an answer with rows or machines.
	maxRowsBytes = httphead.AnswerBytes
)

// HTTPClient implements Services over the platform's HTTP protocol. It does not
// retry or limit calls; Client does.
type HTTPClient struct {
	baseURL string
	client  *fasthttp.Client

	// machinesMutex guards the last machine list and its entity tag.
	machinesMutex sync.Mutex
	machines      []Machine
	machinesTag   string
}

// NewHTTPClient returns a client of the platform at baseURL.
func NewHTTPClient(baseURL string) *HTTPClient {
	return &HTTPClient{
		baseURL: baseURL,
		client: &fasthttp.Client{
			MaxConnsPerHost:               256,
			NoDefaultUserAgentHeader:      true,
			MaxIdemponentCallAttempts:     1,
			DisableHeaderNamesNormalizing: false,
			DisablePathNormalizing:        true,
			StreamResponseBody:            true,
			Dial:                          httphead.CheckedDial(fasthttp.Dial),
		},
	}
}

// answer is an HTTP response copied out of fasthttp's pooled buffers.
type answer struct {
	status int
	body   []byte
	tag    string
}

// call makes a call whose answer has a body of maxRowsBytes at most.
func (c *HTTPClient) call(ctx context.Context, method, pathAndQuery string, body []byte, header map[string]string) (answer, error) {
	return c.callUpTo(ctx, maxRowsBytes, method, pathAndQuery, body, header)
}

// callUpTo makes a call whose answer has a body of limit bytes at most.
func (c *HTTPClient) callUpTo(ctx context.Context, limit int, method, pathAndQuery string, body []byte, header map[string]string) (answer, error) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(c.baseURL + pathAndQuery)
	request.SetBodyRaw(body)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	if err := c.client.DoDeadline(request, response, callDeadline(ctx)); err != nil {
		return answer{}, unavailable(err, pathAndQuery)
	}
	content, err := wholeBody(response, limit)
	if err != nil {
		return answer{}, unavailable(err, pathAndQuery)
	}
	copied := answer{status: response.StatusCode(), body: content, tag: string(response.Header.Peek("ETag"))}
	if copied.status == fasthttp.StatusTooManyRequests || copied.status >= fasthttp.StatusInternalServerError {
		return copied, failure.New(failure.KindUnavailable, "platform_refused", "the platform answered %d to %s", copied.status, pathAndQuery)
	}
	return copied, nil
}

// wholeBody reads the body of an answer of limit bytes at most. A body that ends with its connection is
// an error, since it may have been cut off.
func wholeBody(response *fasthttp.Response, limit int) ([]byte, error) {
	if err := httphead.CheckFraming(&response.Header); err != nil {
		return nil, err
	}
	return httphead.ResponseBody(response, limit)
}

func callDeadline(ctx context.Context) time.Time {
	limit := time.Now().Add(defaultCallTimeout)
	if deadline, set := ctx.Deadline(); set && deadline.Before(limit) {
		return deadline
	}
	return limit
}

// Transact implements Table.
func (c *HTTPClient) Transact(ctx context.Context, transaction Transaction) (Version, error) {
	body, err := json.Marshal(transaction)
	if err != nil {
		return 0, failure.Wrap(err, failure.KindInternal, "encode", "cannot encode a transaction")
	}
	reply, err := c.call(ctx, fasthttp.MethodPost, PathTransact, body, nil)
	if err != nil {
		return 0, err
	}
	var result TransactionResult
	if err := json.Unmarshal(reply.body, &result); err != nil {
		return 0, unavailable(err, "transaction answer")
	}
	if !result.Committed {
		return 0, &ConflictError{Rows: result.Conflicts}
	}
	return result.Version, nil
}

// Get implements Table.
func (c *HTTPClient) Get(ctx context.Context, key string) (Row, error) {
	reply, err := c.call(ctx, fasthttp.MethodGet, PathRow+"?key="+url.QueryEscape(key), nil, nil)
	if err != nil {
		return Row{}, err
	}
	var row Row
	if err := json.Unmarshal(reply.body, &row); err != nil {
		return Row{}, unavailable(err, "row answer")
	}
	return row, nil
}

// Scan implements Table.
func (c *HTTPClient) Scan(ctx context.Context, request ScanRequest) ([]Row, error) {
	query := url.Values{}
	query.Set("prefix", request.Prefix)
	query.Set("after", request.After)
	query.Set("limit", strconv.Itoa(request.Limit))
	query.Set("reverse", strconv.FormatBool(request.Reverse))
	reply, err := c.call(ctx, fasthttp.MethodGet, PathScan+"?"+query.Encode(), nil, nil)
	if err != nil {
		return nil, err
	}
	var rows []Row
	if err := json.Unmarshal(reply.body, &rows); err != nil {
		return nil, unavailable(err, "scan answer")
	}
	return rows, nil
}

// objectPath returns the path of an object. The name is escaped except for its
// slashes.
func objectPath(name string) string {
	return PathObjects + strings.ReplaceAll(url.PathEscape(name), "%2F", "/")
}

// Put implements Objects.
func (c *HTTPClient) Put(ctx context.Context, name string, content []byte) error {
	_, err := c.call(ctx, fasthttp.MethodPut, objectPath(name), content, nil)
	return err
}

// getObject reads an object with extra request headers.
func (c *HTTPClient) getObject(ctx context.Context, name string, header map[string]string) ([]byte, error) {
	reply, err := c.callUpTo(ctx, MaxObjectBytes, fasthttp.MethodGet, objectPath(name), nil, header)
	if err != nil {
		return nil, err
	}
	if reply.status == fasthttp.StatusNotFound {
		return nil, failure.New(failure.KindNotFound, "no_object", "object %s does not exist", name)
	}
	return reply.body, nil
}

// GetObject implements Objects.
func (c *HTTPClient) GetObject(ctx context.Context, name string) ([]byte, error) {
	return c.getObject(ctx, name, nil)
}

// GetRange implements Objects.
func (c *HTTPClient) GetRange(ctx context.Context, name string, offset, length int64) ([]byte, error) {
	byteRange := "bytes=" + strconv.FormatInt(offset, 10) + "-" + strconv.FormatInt(offset+length-1, 10)
	return c.getObject(ctx, name, map[string]string{"Range": byteRange})
}

// List implements Machines. It sends the last entity tag, because the list is long
// and seldom changes.
func (c *HTTPClient) List(ctx context.Context) ([]Machine, error) {
	c.machinesMutex.Lock()
	defer c.machinesMutex.Unlock()
	reply, err := c.call(ctx, fasthttp.MethodGet, PathMachines, nil, map[string]string{"If-None-Match": c.machinesTag})
	if err != nil {
		return nil, err
	}
	if reply.status == fasthttp.StatusNotModified {
		return c.machines, nil
	}
	var machines []Machine
	if err := json.Unmarshal(reply.body, &machines); err != nil {
		return nil, unavailable(err, "machine list")
	}
	c.machines, c.machinesTag = machines, reply.tag
	return machines, nil
}
