// Package peer sends typed messages between nodes over QUIC with mutual TLS. Each
// request uses its own stream, so that a slow request does not block others.
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

// Timeouts and limits of the connections.
const (
	handshakeTimeout = 2 * time.Second
	idleTimeout      = 15 * time.Second
	callTimeout      = 3 * time.Second
	maxStreams       = 4096
	streamWindow     = 1 << 18
	connWindow       = 1 << 20
)

// request is the message from the client of a stream.
type request struct {
	Kind nodemsg.Kind    `cbor:"1,keyasint"`
	From string          `cbor:"2,keyasint"`
	Body cbor.RawMessage `cbor:"3,keyasint"`
}

// response is the message from the server of a stream.
type response struct {
	Err  *fault.Error    `cbor:"1,keyasint,omitempty"`
	Body cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

// handler handles the requests of one kind.
type handler func(ctx context.Context, from string, body []byte) (any, error)

// Peer sends requests to other nodes and serves theirs.
type Peer struct {
	name      string
	keyring   *keys.Keyring
	log       logr.Logger
	transport *quic.Transport
	listener  *quic.Listener
	ctx       context.Context
	cancel    context.CancelFunc

	mu            sync.Mutex
	handlers      map[nodemsg.Kind]handler
	conns         map[string]*quic.Conn
	accepted      map[*quic.Conn]bool
	closedTraffic [2]uint64
	blocked       func(addr string) bool
	// ownAddr is the address at which other nodes reach this node.
	ownAddr string
}

// SetOwnAddr sets the address at which other nodes reach this node. Calls to that
// address are handled without the network. SetOwnAddr must be called before Serve.
func (pr *Peer) SetOwnAddr(addr string) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.ownAddr = addr
}

func (pr *Peer) isSelf(addr string) bool {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.ownAddr != "" && addr == pr.ownAddr
}

// New opens the UDP socket. Requests are served only after Serve is called.
func New(name, listen string, keyring *keys.Keyring, log logr.Logger) (*Peer, error) {
	addr, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "resolve peer address")
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for nodes")
	}
	pr := &Peer{
		name: name, keyring: keyring, log: log.WithName("peer"),
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
		MaxStreamReceiveWindow:         wire.MaxMessageSize,
		InitialConnectionReceiveWindow: connWindow,
		DisablePathMTUDiscovery:        true,
	}
}

// Addr returns the address that the node listens on.
func (pr *Peer) Addr() string { return pr.transport.Conn.LocalAddr().String() }

// Serve starts to serve requests in the background.
func (pr *Peer) Serve() error {
	ln, err := pr.transport.Listen(pr.keyring.ServerConfig(), config())
	if err != nil {
		return errors.Wrap(err, "serve nodes")
	}
	pr.listener = ln
	go pr.acceptLoop()
	return nil
}

// Close closes all connections and the socket.
func (pr *Peer) Close() error {
	pr.cancel()
	if pr.listener != nil {
		_ = pr.listener.Close() // errors that matter are returned by transport.Close
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

// Block makes calls to the addresses for which match returns true fail; nil unblocks
// all. Tests block both sides to simulate network partitions.
func (pr *Peer) Block(match func(addr string) bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.blocked = match
}

func (pr *Peer) isBlocked(addr string) bool {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.blocked != nil && pr.blocked(addr)
}

// Traffic returns the total bytes sent to and received from other nodes.
func (pr *Peer) Traffic() (sent, received uint64) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	sent, received = pr.closedTraffic[0], pr.closedTraffic[1]
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

// addClosedTraffic adds the traffic of a closed connection to the total. The caller
// holds the lock.
func (pr *Peer) addClosedTraffic(cn *quic.Conn) {
	st := cn.ConnectionStats()
	pr.closedTraffic[0] += st.BytesSent
	pr.closedTraffic[1] += st.BytesReceived
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
		pr.addClosedTraffic(cn)
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
	defer func() { _ = sm.Close() }() // the caller detects an incomplete stream
	raw, err := wire.ReadAll(sm)
	if err != nil {
		return
	}
	var req request
	if err := wire.Decode(raw, &req); err != nil {
		pr.log.Error(err, "Request could not be decoded.", "remote", cn.RemoteAddr().String())
		return
	}
	rsp := response{Err: fault.New(fault.Denied, "the certificate was not issued to node %s", req.From)}
	if certifiedName(cn) == req.From {
		rsp = pr.answer(sm.Context(), req)
	}
	out, err := wire.Encode(rsp)
	if err != nil {
		out, _ = wire.Encode(response{Err: fault.From(err)}) // an error without a body is always within the size limit
	}
	_, _ = sm.Write(out) // the caller detects a lost response
}

// certifiedName returns the node name in the certificate of the remote side, or "".
func certifiedName(cn *quic.Conn) string {
	certs := cn.ConnectionState().TLS.PeerCertificates
	if len(certs) == 0 {
		return ""
	}
	return certs[0].Subject.CommonName
}

func (pr *Peer) answer(ctx context.Context, req request) response {
	pr.mu.Lock()
	handle, ok := pr.handlers[req.Kind]
	pr.mu.Unlock()
	if !ok {
		return response{Err: fault.New(fault.BadRequest, "node %s has no handler for messages of kind %d", pr.name, req.Kind)}
	}
	res, err := handle(ctx, req.From, req.Body)
	if err != nil {
		return response{Err: fault.From(err)}
	}
	body, err := wire.Encode(res)
	if err != nil {
		return response{Err: fault.From(err).MarkMayHaveRun()}
	}
	return response{Body: body}
}

// Handle registers the handler of one kind of request.
func Handle[Req, Res any](
	pr *Peer, kd nodemsg.Kind, handle func(ctx context.Context, from string, req Req) (Res, error),
) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.handlers[kd] = func(ctx context.Context, from string, body []byte) (any, error) {
		var req Req
		if err := wire.Decode(body, &req); err != nil {
			return nil, fault.New(fault.BadRequest, "message of kind %d: %v", kd, err)
		}
		return handle(ctx, from, req)
	}
}

// Call sends a request to the node at the address and waits for the response. An
// error with MayHaveRun set means that the request may have been carried out. A
// context without a deadline gets callTimeout.
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
		return decodeResponse[Res](addr, pr.answer(ctx, message))
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
		return res, fault.New(fault.Unavailable, "response of node at %s: %v", addr, err).MarkMayHaveRun()
	}
	return decodeResponse[Res](addr, rsp)
}

// decodeResponse returns the body of a response, or its error.
func decodeResponse[Res any](addr string, rsp response) (Res, error) {
	var res Res
	if rsp.Err != nil {
		return res, rsp.Err
	}
	if err := wire.Decode(rsp.Body, &res); err != nil {
		return res, fault.New(fault.Unavailable, "response of node at %s: %v", addr, err).MarkMayHaveRun()
	}
	return res, nil
}
