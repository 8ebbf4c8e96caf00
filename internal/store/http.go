package store

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tackbeam.example/tackbeam/internal/storemsg"
)

// HTTP returns a transport for a store that serves JSON over HTTP at the given addresses. Each call goes to the first
// address, or to the next one if the call was refused.
func HTTP(addrs []string) Transport {
	ht := &httpTransport{addrs: addrs, client: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true,
		MaxResponseBodySize:       64 * storemsg.MaxValue,
	}}
	return Transport{
		Get:   postFunc[storemsg.GetRequest, storemsg.ItemsResponse](ht, storemsg.GetPath),
		Put:   postFunc[storemsg.PutRequest, storemsg.PutResponse](ht, storemsg.PutPath),
		Lease: postFunc[storemsg.LeaseRequest, storemsg.LeaseResponse](ht, storemsg.LeasePath),
		Watch: postFunc[storemsg.WatchRequest, storemsg.ItemsResponse](ht, storemsg.WatchPath),
	}
}

type httpTransport struct {
	addrs  []string
	client *fasthttp.Client
}

// postFunc returns a function that posts requests of one type to a path.
func postFunc[Req, Res any](ht *httpTransport, path string) func(context.Context, Req) (Res, Outcome, error) {
	return func(ctx context.Context, req Req) (Res, Outcome, error) {
		var res Res
		body, err := json.Marshal(req)
		if err != nil {
			return res, Refused, errors.Wrap(err, "encode store call")
		}
		var oc Outcome
		for _, addr := range ht.addrs {
			oc, err = ht.post(ctx, "http://"+addr+path, body, &res)
			if oc != Refused || ctx.Err() != nil {
				break
			}
		}
		return res, oc, err
	}
}

// post makes one call. It counts as refused only if the response says so, if no connection could be opened, or if its
// time was over before it was sent. In all other cases, it may have taken effect.
func (ht *httpTransport) post(ctx context.Context, url string, body []byte, res any) (Outcome, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	// The context's timer may fire later than its deadline.
	if ctx.Err() != nil || !time.Now().Before(deadline) {
		return Refused, errors.New("call store: canceled or past its deadline before it was sent")
	}
	done := make(chan httpResponse, 1)
	go func() { done <- ht.exchange(url, body, deadline) }()
	select {
	case hr := <-done:
		if hr.err != nil {
			return dialOutcome(hr.err), errors.Wrap(hr.err, "call store")
		}
		return decodeResponse(hr, res)
	case <-ctx.Done():
		return NoAnswer, errors.Wrap(ctx.Err(), "call store")
	}
}

// httpResponse is the result of one HTTP request.
type httpResponse struct {
	status int
	body   []byte
	err    error
}

// exchange sends one request. The library cannot cancel requests, so that a request abandoned by its caller continues
// until the deadline.
func (ht *httpTransport) exchange(url string, body []byte, deadline time.Time) httpResponse {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	rsp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(rsp)
	req.SetRequestURI(url)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	err := ht.client.DoDeadline(req, rsp, deadline)
	return httpResponse{status: rsp.StatusCode(), body: bytes.Clone(rsp.Body()), err: err}
}

// defaultTimeout applies to calls whose context has no deadline.
const defaultTimeout = time.Second

func dialOutcome(err error) Outcome {
	var dial *fasthttp.ErrDialWithUpstream
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrDialTimeout) {
		return Refused
	}
	return NoAnswer
}

func decodeResponse(hr httpResponse, res any) (Outcome, error) {
	outcome := Answered
	switch hr.status {
	case fasthttp.StatusOK:
	case fasthttp.StatusConflict:
		outcome = Conflicted
	case fasthttp.StatusGone:
		return Gone, nil
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable,
		fasthttp.StatusBadRequest, fasthttp.StatusNotFound, fasthttp.StatusRequestEntityTooLarge:
		return Refused, errors.Errorf("store answered %d: %s", hr.status, hr.body)
	default:
		return NoAnswer, errors.Errorf("store answered %d", hr.status)
	}
	if err := json.Unmarshal(hr.body, res); err != nil {
		return NoAnswer, errors.Wrap(err, "decode store response")
	}
	return outcome, nil
}
