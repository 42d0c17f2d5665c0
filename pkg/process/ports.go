package process

import (
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/httpd"
	"github.com/hopwell/hopwell/pkg/peers"
	"github.com/hopwell/hopwell/pkg/unread"
)

// IngressPorts are the addresses that an ingress listens on.
type IngressPorts struct {
	Callers, Health, Metrics, Peers string
}

// Ports returns the addresses that the process listens on.
func (p *Ingress) Ports() IngressPorts { return p.ports }

// listen opens the ports and serves on them.
func (p *Ingress) listen() error {
	settings := p.settings.Load()
	l := settings.Listen
	health := http.HandlerFunc(p.serveHealth)
	internal := p.internalHandler()
	for _, port := range []port{
		{address: l.Callers, handler: p.Ingress, bound: &p.ports.Callers, wrap: p.shedding, times: p.clientTimes, connections: p.memory.connections},
		{address: l.Health, handler: health, bound: &p.ports.Health, connections: internalConnections},
		{address: l.Metrics, handler: internal, bound: &p.ports.Metrics, connections: internalConnections},
	} {
		if err := p.serve(port); err != nil {
			return err
		}
	}
	return nil
}

// port is an address to serve HTTP on.
type port struct {
	address string
	handler http.Handler
	// bound receives the address that is listened on, and wrap wraps the listener, unless they are nil.
	bound *string
	wrap  func(net.Listener) net.Listener
	// times returns how long a head may take and a connection may rest; nil for those of the settings.
	times func() (head, idle time.Duration)
	// connections is the largest number of open connections.
	connections int
}

// ownTimes returns the times of the settings: how long a head may take and a connection may rest.
func (p *Ingress) ownTimes() (head, idle time.Duration) {
	limits := p.settings.Load().Limits
	return limits.HeaderTime.D(), limits.IdleTime.D()
}

// clientTimeMargin is added to the operators' limits, which clients count from when they begin to send.
const clientTimeMargin = time.Second

// clientTimes returns the operators' times for clients, or those of the settings before they are known.
func (p *Ingress) clientTimes() (head, idle time.Duration) {
	head, idle = p.ownTimes()
	table := p.Ingress.Table()
	if table == nil {
		return head, idle
	}
	if limit := table.Config.Limits.HeaderTime; limit > 0 {
		head = limit + clientTimeMargin
	}
	if limit := table.Config.Limits.IdleTime; limit > 0 {
		idle = limit + clientTimeMargin
	}
	return head, idle
}

var connectionsRejected = metrics.GetOrCreateCounter("hopwell_ingress_connections_rejected_total")

// serve starts an HTTP server on a port.
func (p *Ingress) serve(to port) error {
	listener, err := net.Listen("tcp", to.address)
	if err != nil {
		return &httpd.ErrListen{Address: to.address, Err: err}
	}
	if err := unread.Limit(listener); err != nil {
		p.socketsNotBounded(err)
	}
	if to.bound != nil {
		*to.bound = listener.Addr().String()
	}
	if to.wrap != nil {
		listener = to.wrap(listener)
	}
	bounds := &httpd.Bounds{Connections: to.connections, Heads: p.memory.requestHeads, Windows: p.memory.windows, Rejected: p.connectionRejected, Failed: p.socketsNotBounded}
	bounds.Times = to.times
	if bounds.Times == nil {
		bounds.Times = p.ownTimes
	}
	server := bounds.Server(to.handler)
	server.ErrorLog = discardLogger()
	p.servers = append(p.servers, server)
	p.done.Go(func() { _ = server.Serve(bounds.Listener(listener)) })
	return nil
}

// connectionRejected logs and counts a connection that was closed since it exceeded a bound.
func (p *Ingress) connectionRejected(remote net.Addr, err error) {
	connectionsRejected.Inc()
	p.log.Write(decisionlog.KindFailed, "connection_rejected", decisionlog.F("remote", remote), decisionlog.F("error", err))
}

// socketsNotBounded logs that the kernel may keep megabytes for a client that reads slowly or sends too much.
func (p *Ingress) socketsNotBounded(err error) {
	p.log.Write(decisionlog.KindProcess, "sockets_not_bounded", decisionlog.F("error", err))
}

// openPeers opens the port for the other gateways: UDP for datagrams, TCP for the copy of the
// store.
func (p *Ingress) openPeers() error {
	conn, err := p.openPeerPort()
	if err != nil {
		return err
	}
	instance := p.settings.Load().Instance
	p.peers = peers.New(peers.Options{
		Name: instance.Name, Address: p.ports.Peers, Conn: conn,
		Domain: instance.Domain, Outcomes: p.Ingress.Outcomes, ReceiveOutcomes: p.Ingress.ReceiveOutcomes,
		Store: p.feed, Pace: p.feed.pace,
		ReceiveSuspicion:    p.Ingress.ReceiveSuspicion,
		ReceivePartEvidence: p.Ingress.ReceivePartEvidence,
		ReceiveOrigins:      p.Ingress.ReceiveOrigins,
		OriginOf:            p.Ingress.OriginOf,
		ReceiveOriginReply:  p.Ingress.ReceiveOriginReply,
		Lag:                 p.lag.Lag,
		Quota:               p.quota,
		Limits:              p.Ingress.Directory.Limits,
		Notices:             p.Ingress.Directory.Notices,
		ReceiveStageChanges: p.Ingress.ReceiveStageChanges,
		Snapshots:           p.Ingress.Snapshots, ReceiveSnapshot: p.Ingress.ReceiveSnapshot, Version: p.Ingress.Version,
		Failed: func(err error) { p.log.Write(decisionlog.KindProcess, "datagram_failed", decisionlog.F("error", err)) },
		Changed: func(name, what string, known int) {
			if what == peers.Silent {
				p.Ingress.DropGateway(name)
			}
			p.log.Write(decisionlog.KindState, "gateway_"+what, decisionlog.F("gateway", name), decisionlog.F("known", known))
		},
	})
	return nil
}

// peerPortAttempts is how often a free port is tried if the settings name no port: a port that the
// system chose for UDP may be in use for TCP.
const peerPortAttempts = 20

// openPeerPort opens the same port for UDP and TCP.
func (p *Ingress) openPeerPort() (net.PacketConn, error) {
	address := p.settings.Load().Listen.Peers
	for try := 1; ; try++ {
		conn, err := net.ListenPacket("udp4", address)
		if err != nil {
			return nil, &httpd.ErrListen{Address: address, Err: err}
		}
		p.ports.Peers = conn.LocalAddr().String()
		err = p.serve(port{address: p.ports.Peers, handler: http.HandlerFunc(p.serveState), connections: peerConnections})
		if err == nil {
			return conn, nil
		}
		_ = conn.Close()
		if p.ports.Peers == address || try == peerPortAttempts {
			return nil, err
		}
	}
}

func (p *Ingress) closePorts() {
	for _, s := range p.servers {
		_ = s.Close()
	}
}
