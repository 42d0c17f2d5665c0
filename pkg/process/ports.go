package process

import (
	"net"
	"net/http"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/httpd"
	"github.com/hopwell/hopwell/pkg/peers"
)

// IngressPorts are the addresses that an ingress listens on.
type IngressPorts struct {
	Callers, Health, Metrics, Peers string
}

// Ports returns where the process listens.
func (p *Ingress) Ports() IngressPorts { return p.ports }

// listen opens the ports and serves on them.
func (p *Ingress) listen() error {
	settings := p.settings.Load()
	l := settings.Listen
	health := http.HandlerFunc(p.health)
	figures := http.HandlerFunc(p.figures)
	for _, port := range []struct {
		address string
		handler http.Handler
		bound   *string
	}{{l.Callers, p.Ingress, &p.ports.Callers}, {l.Health, health, &p.ports.Health}, {l.Metrics, figures, &p.ports.Metrics}} {
		if err := p.serve(port.address, port.handler, port.bound); err != nil {
			return err
		}
	}
	return nil
}

// serve starts an HTTP server on an address; bound takes the one that it listens on,
// nil for nobody.
func (p *Ingress) serve(address string, handler http.Handler, bound *string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return &httpd.ErrListen{Address: address, Err: err}
	}
	if bound != nil {
		*bound = listener.Addr().String()
	}
	limits := p.settings.Load().Limits
	server := &http.Server{Handler: handler, ReadHeaderTimeout: limits.HeaderTime.D(), IdleTimeout: limits.IdleTime.D(), ErrorLog: quiet()}
	p.servers = append(p.servers, server)
	p.done.Go(func() { _ = server.Serve(listener) })
	return nil
}

// meet opens the port on which gateways meet: for datagrams, and over TCP for what they
// know of the store.
func (p *Ingress) meet() error {
	conn, err := p.openMeeting()
	if err != nil {
		return err
	}
	instance := p.settings.Load().Instance
	p.peers = peers.New(peers.Options{
		Name: instance.Name, Address: p.ports.Peers, Conn: conn,
		Domain: instance.Domain, Outcomes: p.Ingress.Outcomes, ReceiveOutcomes: p.Ingress.ReceiveOutcomes,
		Store: p.feed, Pace: p.feed.pace,
		ReceiveSuspicion:    p.Ingress.ReceiveSuspicion,
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

// meetingTries is how often a free port is looked for, where the settings leave it open:
// one that is free for datagrams may be taken for TCP.
const meetingTries = 20

// openMeeting opens one port for both protocols.
func (p *Ingress) openMeeting() (net.PacketConn, error) {
	address := p.settings.Load().Listen.Peers
	for try := 1; ; try++ {
		conn, err := net.ListenPacket("udp4", address)
		if err != nil {
			return nil, &httpd.ErrListen{Address: address, Err: err}
		}
		p.ports.Peers = conn.LocalAddr().String()
		err = p.serve(p.ports.Peers, http.HandlerFunc(p.serveState), nil)
		if err == nil {
			return conn, nil
		}
		_ = conn.Close()
		if p.ports.Peers == address || try == meetingTries {
			return nil, err
		}
	}
}

func (p *Ingress) closePorts() {
	for _, s := range p.servers {
		_ = s.Close()
	}
}
