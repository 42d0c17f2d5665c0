package main

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"time"
)

// link is all that connects one gateway with the store and with the only other gateway. It translates addresses
// like a router, so that the datagrams of both pass it too. While it is cut it passes nothing on, either way, and
// says nothing.
type link struct {
	cut atomic.Bool
	// store is the address at which the gateway behind the link sees the store.
	store string
	// here is where the gateway behind the link meets others, there where the other one does; hereSeen and
	// thereSeen are the addresses that stand for them on the other side.
	here, there, hereSeen, thereSeen string
	outer, inner                     net.PacketConn
}

// newLink opens a link of a gateway whose meeting address is here, to the store and to a gateway at there.
func newLink(store, here, there string) *link {
	l := &link{here: here, there: there}
	l.inner, l.thereSeen = openPacket()
	l.outer, l.hereSeen = openPacket()
	go l.pass(l.inner, l.outer, there)
	go l.pass(l.outer, l.inner, here)
	target, _ := url.Parse("http://" + store)
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.FlushInterval = -1
	proxy.ModifyResponse = func(res *http.Response) error {
		body, err := io.ReadAll(res.Body)
		if err != nil {
			return err
		}
		body = translate(body, l.there, l.thereSeen)
		res.Body, res.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		res.Header.Del("Content-Length")
		return nil
	}
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	front := listenLocal()
	l.store = front.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		body = translate(body, l.here, l.hereSeen)
		q.Body, q.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		proxy.ServeHTTP(w, q)
	})}
	go func() { _ = server.Serve(&silentListener{front, l}) }()
	return l
}

func openPacket() (net.PacketConn, string) {
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		unable("no free port: %v", err)
	}
	return c, c.LocalAddr().String()
}

// pass sends on the datagrams that arrive at one side from the other.
func (l *link) pass(from, to net.PacketConn, address string) {
	target, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		unable("address: %v", err)
	}
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := from.ReadFrom(buffer)
		if err != nil {
			return
		}
		if !l.cut.Load() {
			_, _ = to.WriteTo(buffer[:n], target)
		}
	}
}

// translate replaces an address in the values of the store's bodies, which are base64.
func translate(body []byte, from, to string) []byte {
	encode := func(s string) []byte { return []byte(`"` + base64.StdEncoding.EncodeToString([]byte(s)) + `"`) }
	return bytes.ReplaceAll(body, encode(from), encode(to))
}

// silentListener accepts connections that pass nothing while the link is cut.
type silentListener struct {
	net.Listener
	link *link
}

func (s *silentListener) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &silentConn{c, s.link}, nil
}

type silentConn struct {
	net.Conn
	link *link
}

func (c *silentConn) wait() {
	for c.link.cut.Load() {
		time.Sleep(5 * time.Millisecond)
	}
}

func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wait()
	return n, err
}

func (c *silentConn) Write(p []byte) (int, error) {
	c.wait()
	return c.Conn.Write(p)
}

// readEvents reads the events of a stream and calls a function with the ID and data of each. It returns nil at a
// regular end.
func readEvents(body io.Reader, each func(id, data string)) error {
	in := bufio.NewReader(body)
	id, data := "", ""
	for {
		text, err := in.ReadString('\n')
		if err != nil {
			if err == io.EOF && text == "" && id == "" && data == "" {
				return nil
			}
			if err == io.EOF {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		switch {
		case text == "\n":
			each(id, data)
			id, data = "", ""
		case len(text) > 4 && text[:4] == "id: ":
			id = text[4 : len(text)-1]
		case len(text) > 6 && text[:6] == "data: ":
			data = text[6 : len(text)-1]
		}
	}
}

func compact(v any) string {
	b, _ := json.Marshal(v)
	return string(b)
}
