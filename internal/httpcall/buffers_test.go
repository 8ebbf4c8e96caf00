package httpcall_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"tackbeam.example/tackbeam/internal/httpcall"
	"tackbeam.example/tackbeam/internal/standin/ports"
)

// TestSmallBuffers sends and receives bodies that are larger than the buffers of the connection.
func TestSmallBuffers(t *testing.T) {
	is := is.New(t)
	block, err := ports.Reserve(1)
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(block.Close()) })
	server := &fasthttp.Server{Handler: func(rc *fasthttp.RequestCtx) { rc.SetBody(rc.PostBody()) }}
	go func() { _ = server.ListenAndServe(block.Address(0)) }()
	t.Cleanup(func() { is.NoErr(server.Shutdown()) })
	calls := httpcall.New(2).WithBuffers(512, 256)
	for _, size := range []int{0, 100, 256, 512, 10_000, 1_000_000} {
		body := []byte(strings.Repeat("x", size))
		rq := httpcall.Request{Method: fasthttp.MethodPost, Address: block.Address(0), Path: "/", Body: body}
		var res httpcall.Response
		for tries := 0; tries < 50; tries++ { // the server may not listen yet
			if res, err = calls.Do(t.Context(), rq); err == nil {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		is.NoErr(err)
		is.Equal(len(res.Body), size)
	}
}
