// Package peer carries typed messages between nodes over QUIC with mutual TLS.
// Each request has a stream of its own, so that a slow one holds up no other.
package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/keys"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/wire"
)

// Times and sizes of the connections.
const (
	handshakeTimeout = 2 * time.Second
	idleTimeout      = 15 * time.Second
	callTimeout      = 3 * time.Second
	maxStreams       = 4096
	streamWindow     = 1 << 18
	connWindow       = 1 << 20
)

// request is what a stream carries one way.
type request struct {
	Kind nodemsg.Kind    `cbor:"1,keyasint"`
	From string          `cbor:"2,keyasint"`
	Body cbor.RawMessage `cbor:"3,keyasint"`
}

// response is what a stream carries the other way.
type response struct {
	Err  *fault.Error    `cbor:"1,keyasint,omitempty"`
	Body cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

// handler answers the requests of one kind.
type handler func(ctx context.Context, from string, body []byte) (any, error)

// Peer is this node's end of the links to the other nodes.
type Peer struct {
	name      string
	ring      *keys.Keyring
	log       logr.Logger
	transport *quic.Transport
	listener  *quic.Listener
	ctx       context.Context
	cancel    context.CancelFunc

	mu       sync.Mutex
	handlers map[nodemsg.Kind]handler
	conns    map[string]*quic.Conn
	accepted map[*quic.Conn]bool
	closed   [2]uint64
	blocked  func(addr string) bool
	// self is the address that this node is reached at.
	self string
}

// SetSelf names the address that the other nodes use for this one, so that a
// request to it needs no network; before Start.
func (pr *Peer) SetSelf(addr string) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.self = addr
}

func (pr *Peer) isSelf(addr string) bool {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.self != "" && addr == pr.self
}

// New opens the socket of the listen address. Serve begins to answer.
func New(name, listen string, ring *keys.Keyring, log logr.Logger) (*Peer, error) {
	addr, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "resolve peer address")
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for nodes")
	}
	pr := &Peer{
		name: name, ring: ring, log: log.WithName("peer"),
		transport: &quic.Transport{Conn: socket},
		handlers:  map[nodemsg.Kind]handler{},
		conns:     map[string]*quic.Conn{},
		accepted:  map[*quic.Conn]bool{},
	}
	pr.ctx, pr.cancel = context.WithCancel(context.Background())
	return pr, nil
}

func config() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		MaxIncomingStreams:             maxStreams,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         wire.MaxMessage,
		InitialConnectionReceiveWindow: connWindow,
		DisablePathMTUDiscovery:        true,
	}
}

// Addr returns the address that the node listens on.
func (pr *Peer) Addr() string { return pr.transport.Conn.LocalAddr().String() }

// Serve begins to answer requests.
func (pr *Peer) Serve() error {
	ln, err := pr.transport.Listen(pr.ring.ServerConfig(), config())
	if err != nil {
		return errors.Wrap(err, "serve nodes")
	}
	pr.listener = ln
	go pr.acceptLoop()
	return nil
}

// Close ends all links.
func (pr *Peer) Close() error {
	pr.cancel()
	if pr.listener != nil {
		_ = pr.listener.Close() // the transport's end reports what matters
	}
	pr.mu.Lock()
	for _, cn := range pr.conns {
		_ = cn.CloseWithError(0, "stopping")
	}
	for cn := range pr.accepted {
		_ = cn.CloseWithError(0, "stopping")
	}
	pr.mu.Unlock()
	if err := pr.transport.Close(); err != nil {
		return errors.Wrap(err, "close peer transport")
	}
	return errors.Wrap(pr.transport.Conn.Close(), "close peer socket")
}

// Block cuts the links to the addresses that cut reports, both ways; nil cuts
// none. Tests use it to split nodes.
func (pr *Peer) Block(cut func(addr string) bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.blocked = cut
}

func (pr *Peer) isBlocked(addr string) bool {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.blocked != nil && pr.blocked(addr)
}

// Traffic returns the bytes sent and received between nodes so far.
func (pr *Peer) Traffic() (sent, received uint64) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	sent, received = pr.closed[0], pr.closed[1]
	add := func(cn *quic.Conn) {
		st := cn.ConnectionStats()
		sent += st.BytesSent
		received += st.BytesReceived
	}
	for _, cn := range pr.conns {
		add(cn)
	}
	for cn := range pr.accepted {
		add(cn)
	}
	return sent, received
}

// retire adds a closed connection's traffic to the sum. The caller holds the lock.
func (pr *Peer) retire(cn *quic.Conn) {
	st := cn.ConnectionStats()
	pr.closed[0] += st.BytesSent
	pr.closed[1] += st.BytesReceived
}

func (pr *Peer) acceptLoop() {
	for {
		cn, err := pr.listener.Accept(pr.ctx)
		if err != nil {
			return
		}
		pr.mu.Lock()
		pr.accepted[cn] = true
		pr.mu.Unlock()
		go pr.serveConn(cn)
	}
}

func (pr *Peer) serveConn(cn *quic.Conn) {
	defer func() {
		pr.mu.Lock()
		delete(pr.accepted, cn)
		pr.retire(cn)
		pr.mu.Unlock()
	}()
	for {
		sm, err := cn.AcceptStream(pr.ctx)
		if err != nil {
			return
		}
		go pr.serveStream(cn, sm)
	}
}

func (pr *Peer) serveStream(cn *quic.Conn, sm *quic.Stream) {
	defer func() { _ = sm.Close() }() // the caller notices a cut stream
	raw, err := wire.ReadAll(sm)
	if err != nil {
		return
	}
	var req request
	if err := wire.Decode(raw, &req); err != nil {
		pr.log.Error(err, "Request cannot be read.", "remote", cn.RemoteAddr().String())
		return
	}
	rsp := response{Err: fault.New(fault.Denied, "certificate is not that of node %s", req.From)}
	if certified(cn) == req.From {
		rsp = pr.answer(sm.Context(), req)
	}
	out, err := wire.Encode(rsp)
	if err != nil {
		out, _ = wire.Encode(response{Err: fault.From(err)}) // a short message always encodes
	}
	_, _ = sm.Write(out) // a lost answer shows at the caller
}

// certified returns the node's name in the certificate of the other side.
func certified(cn *quic.Conn) string {
	certs := cn.ConnectionState().TLS.PeerCertificates
	if len(certs) == 0 {
		return ""
	}
	return certs[0].Subject.CommonName
}

func (pr *Peer) answer(ctx context.Context, req request) response {
	pr.mu.Lock()
	act, ok := pr.handlers[req.Kind]
	pr.mu.Unlock()
	if !ok {
		return response{Err: fault.New(fault.BadRequest, "node %s takes no message of kind %d", pr.name, req.Kind)}
	}
	res, err := act(ctx, req.From, req.Body)
	if err != nil {
		return response{Err: fault.From(err)}
	}
	body, err := wire.Encode(res)
	if err != nil {
		return response{Err: fault.From(err).MarkMayHaveRun()}
	}
	return response{Body: body}
}

// Handle answers requests of one kind with act.
func Handle[Req, Res any](
	pr *Peer, kd nodemsg.Kind, act func(ctx context.Context, from string, req Req) (Res, error),
) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.handlers[kd] = func(ctx context.Context, from string, body []byte) (any, error) {
		var req Req
		if err := wire.Decode(body, &req); err != nil {
			return nil, fault.New(fault.BadRequest, "message of kind %d: %v", kd, err)
		}
		return act(ctx, from, req)
	}
}

// Call sends one request to the node at the address and waits for the answer.
// An error with MayHaveRun set means that the request may have been carried out.
func Call[Req, Res any](ctx context.Context, pr *Peer, addr string, kd nodemsg.Kind, req Req) (Res, error) {
	var res Res
	body, err := wire.Encode(req)
	if err != nil {
		return res, err
	}
	message := request{Kind: kd, From: pr.name, Body: body}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	if pr.isSelf(addr) {
		return read[Res](addr, pr.answer(ctx, message))
	}
	raw, err := wire.Encode(message)
	if err != nil {
		return res, err
	}
	answer, err := pr.exchange(ctx, addr, raw)
	if err != nil {
		return res, err
	}
	var rsp response
	if err := wire.Decode(answer, &rsp); err != nil {
		return res, fault.New(fault.Unavailable, "answer of node at %s: %v", addr, err).MarkMayHaveRun()
	}
	return read[Res](addr, rsp)
}

// read returns what a response holds.
func read[Res any](addr string, rsp response) (Res, error) {
	var res Res
	if rsp.Err != nil {
		return res, rsp.Err
	}
	if err := wire.Decode(rsp.Body, &res); err != nil {
		return res, fault.New(fault.Unavailable, "answer of node at %s: %v", addr, err).MarkMayHaveRun()
	}
	return res, nil
}
