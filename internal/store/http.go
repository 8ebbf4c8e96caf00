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

// HTTP returns the transport for a service that speaks JSON over HTTP at the
// addresses. A call goes to the first address; after a failure, to the next.
func HTTP(addrs []string) Transport {
	ht := &httpTransport{addrs: addrs, client: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true,
		MaxResponseBodySize:       64 * storemsg.MaxValue,
	}}
	return Transport{
		Get:   caller[storemsg.GetRequest, storemsg.ItemsResponse](ht, storemsg.GetPath),
		Put:   caller[storemsg.PutRequest, storemsg.PutResponse](ht, storemsg.PutPath),
		Lease: caller[storemsg.LeaseRequest, storemsg.LeaseResponse](ht, storemsg.LeasePath),
		Watch: caller[storemsg.WatchRequest, storemsg.ItemsResponse](ht, storemsg.WatchPath),
	}
}

type httpTransport struct {
	addrs  []string
	client *fasthttp.Client
}

// caller returns a function that posts requests of one type to one path.
func caller[Req, Res any](ht *httpTransport, path string) func(context.Context, Req) (Res, Outcome, error) {
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

// post makes one call. Only an answer that says so, a connection that was never
// made, or a call that was over before it was sent counts as refused; everything
// else may have taken effect.
func (ht *httpTransport) post(ctx context.Context, url string, body []byte, res any) (Outcome, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	// The context's timer may lag behind its deadline.
	if ctx.Err() != nil || !time.Now().Before(deadline) {
		return Refused, errors.New("call store: its time was over before it was sent")
	}
	done := make(chan answer, 1)
	go func() { done <- ht.exchange(url, body, deadline) }()
	select {
	case an := <-done:
		if an.err != nil {
			return dialOutcome(an.err), errors.Wrap(an.err, "call store")
		}
		return readAnswer(an, res)
	case <-ctx.Done():
		return NoAnswer, errors.Wrap(ctx.Err(), "call store")
	}
}

// answer is what came back from one exchange.
type answer struct {
	status int
	body   []byte
	err    error
}

// exchange sends one request. The library cannot be interrupted, so a caller
// that gives up leaves it to end by its deadline.
func (ht *httpTransport) exchange(url string, body []byte, deadline time.Time) answer {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	rsp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(rsp)
	req.SetRequestURI(url)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	err := ht.client.DoDeadline(req, rsp, deadline)
	return answer{status: rsp.StatusCode(), body: bytes.Clone(rsp.Body()), err: err}
}

// defaultTimeout bounds a call whose context has no deadline.
const defaultTimeout = time.Second

func dialOutcome(err error) Outcome {
	var dial *fasthttp.ErrDialWithUpstream
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrDialTimeout) {
		return Refused
	}
	return NoAnswer
}

func readAnswer(an answer, res any) (Outcome, error) {
	outcome := Answered
	switch an.status {
	case fasthttp.StatusOK:
	case fasthttp.StatusConflict:
		outcome = Conflicted
	case fasthttp.StatusGone:
		return Gone, nil
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable,
		fasthttp.StatusBadRequest, fasthttp.StatusNotFound, fasthttp.StatusRequestEntityTooLarge:
		return Refused, errors.Errorf("store answered %d: %s", an.status, an.body)
	default:
		return NoAnswer, errors.Errorf("store answered %d", an.status)
	}
	if err := json.Unmarshal(an.body, res); err != nil {
		return NoAnswer, errors.Wrap(err, "decode store answer")
	}
	return outcome, nil
}
