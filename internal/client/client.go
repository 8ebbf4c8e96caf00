// Package client is a client of the HTTP API of a node, for the command line, the
// demo and the tests.
package client

import (
	"bytes"
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/fault"
)

// timeoutMargin is added to the timeout sent to the node, so that the node's own
// timeout response arrives in time.
const timeoutMargin = 2 * time.Second

// Client sends each request to the first of its addresses that can be reached.
type Client struct {
	addrs   []string
	http    *fasthttp.Client
	timeout time.Duration
}

// New returns a client of the nodes at the addresses, with a timeout for each call.
func New(timeout time.Duration, addrs ...string) *Client {
	return &Client{addrs: addrs, timeout: timeout, http: &fasthttp.Client{
		NoDefaultUserAgentHeader: true, MaxConnsPerHost: 4096,
	}}
}

// Request is a request to a node.
type Request struct {
	Method  string
	Path    string
	Query   map[string]string
	Headers map[string]string
	Body    []byte
	// Wait is added to the client's timeout.
	Wait time.Duration
}

// Response is the response to a request.
type Response struct {
	Status int
	Body   []byte
	Worker string
	Stale  bool
}

// Do sends a request. An error response is returned as a *fault.Error of its kind. If
// a node is unavailable and the request has certainly not run, the next one is tried.
func (cl *Client) Do(rq Request) (Response, error) {
	var lastErr error
	for _, addr := range cl.addrs {
		rsp, err := cl.do(addr, rq)
		if err == nil || fault.From(err).MayHaveRun || !fault.Is(err, fault.Unavailable) {
			return rsp, err
		}
		lastErr = err
	}
	return Response{}, lastErr
}

func (cl *Client) do(addr string, rq Request) (Response, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	rsp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(rsp)
	req.SetRequestURI("http://" + addr + rq.Path)
	req.Header.SetMethod(rq.Method)
	for name, value := range rq.Query {
		req.URI().QueryArgs().Set(name, value)
	}
	req.Header.Set(api.HeaderTimeout, strconv.FormatFloat(cl.timeout.Seconds(), 'f', 3, 64))
	for name, value := range rq.Headers {
		req.Header.Set(name, value)
	}
	req.SetBody(rq.Body)
	if err := cl.http.DoTimeout(req, rsp, cl.timeout+rq.Wait+timeoutMargin); err != nil {
		return Response{}, transportError(addr, err)
	}
	res := Response{
		Status: rsp.StatusCode(), Body: bytes.Clone(rsp.Body()),
		Worker: string(rsp.Header.Peek(api.HeaderWorker)),
		Stale:  len(rsp.Header.Peek(api.HeaderStale)) > 0,
	}
	if res.Status >= fasthttp.StatusBadRequest {
		return res, decodeError(res)
	}
	return res, nil
}

func transportError(addr string, err error) error {
	er := fault.New(fault.Unavailable, "node at %s: %v", addr, err)
	var dial *fasthttp.ErrDialWithUpstream
	if !errors.As(err, &dial) {
		er.MayHaveRun = true
	}
	return er
}

// decodeError converts an error response to an error.
func decodeError(res Response) error {
	var body api.ErrorBody
	if err := json.Unmarshal(res.Body, &body); err != nil || body.Error.Kind == "" {
		return fault.New(fault.Internal, "status %d: %s", res.Status, res.Body)
	}
	return &fault.Error{
		Kind: body.Error.Kind, Message: body.Error.Message, MayHaveRun: body.Error.Ran != "not-run",
		RetryAfter: time.Duration(body.Error.RetryAfter * float64(time.Second)),
	}
}

// JSON sends a request and decodes the JSON response.
func JSON[Res any](cl *Client, rq Request) (Res, error) {
	var res Res
	rsp, err := cl.Do(rq)
	if err != nil {
		return res, err
	}
	return res, errors.Wrap(json.Unmarshal(rsp.Body, &res), "decode response")
}

// Send sends a request with a JSON body and decodes the JSON response.
func Send[Res any](cl *Client, rq Request, body any) (Res, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		var res Res
		return res, errors.Wrap(err, "encode request body")
	}
	rq.Body = raw
	return JSON[Res](cl, rq)
}
