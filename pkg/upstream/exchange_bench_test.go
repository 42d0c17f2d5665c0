package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// BenchmarkExchange measures a request and a response with the headers of a usual runner, on a kept connection.
func BenchmarkExchange(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				in := bufio.NewReader(c)
				response := []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: 9c41d07be2a35f68\r\nX-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Weight-Versions: 1\r\nKeep-Alive: timeout=15\r\nContent-Length: 62\r\n\r\n{\"kvHandle\":\"3fa09c41b7d5\",\"tokens\":1460,\"version\":1,\"a\":true}")
				for {
					for {
						line, err := in.ReadSlice('\n')
						if err != nil {
							return
						}
						if len(line) == 2 {
							break
						}
					}
					if _, err := c.Write(response); err != nil {
						return
					}
				}
			}()
		}
	}()
	c := New(Options{ConnectTimeout: time.Second, DefaultKeepAlive: time.Minute, MaxIdle: 4})
	defer c.CloseIdle("")
	request := &Request{Method: http.MethodGet, Target: "/api/report", Host: "h", Header: http.Header{"X-Expect-Instance": {"i-1"}}}
	b.ReportAllocs()
	for b.Loop() {
		res, err := c.Do(context.Background(), l.Addr().String(), request)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, res); err != nil {
			b.Fatal(err)
		}
		_ = res.Close()
	}
}

// BenchmarkAwaitHead measures the reading of a usual head into the buffer, which each exchange needs, and the same with
// the check of the head before it is parsed. The difference is what the check costs.
func BenchmarkAwaitHead(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: 9c41d07be2a35f68\r\nX-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Weight-Versions: 1\r\nKeep-Alive: timeout=15\r\nContent-Length: 62\r\n\r\n")
	in := bytes.NewReader(head)
	k := &conn{reader: bufio.NewReaderSize(in, readBuffer)}
	read := func() error {
		_, err := k.reader.Peek(1)
		return err
	}
	for name, await := range map[string]func() error{"read": read, "checked": k.awaitHead} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				in.Reset(head)
				k.reader.Reset(in)
				if err := await(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
