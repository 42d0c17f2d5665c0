package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hopwell/hopwell/pkg/memory"
	"github.com/hopwell/hopwell/pkg/spectest"
)

// headBytes bounds the memory of large heads in these tests, in bytes.
const headBytes = 8 * (MaxHead + MaxHeadLines*memory.HeadLineCost)

// exchangeWith sends a request to a runner that reads it and then runs respond on its end of the
// connection. It returns the response's body and header, and the number of bytes that the runner wrote.
func exchangeWith(heads *memory.Account, respond func(c net.Conn) error) (body string, header http.Header, written int64, err error) {
	var sent atomic.Int64
	ended := make(chan struct{})
	c := New(Options{ConnectTimeout: time.Second, DefaultKeepAlive: time.Minute, MaxIdle: 1, Heads: heads, Dial: func(context.Context, string, string) (net.Conn, error) {
		here, there := net.Pipe()
		go func() {
			defer close(ended)
			defer there.Close()
			if _, err := http.ReadRequest(bufio.NewReader(there)); err == nil {
				_ = respond(&countingConn{Conn: there, written: &sent})
			}
		}()
		return here, nil
	}})
	res, err := c.Do(context.Background(), "runner", &Request{Method: http.MethodGet, Target: "/", Host: "h"})
	if err == nil {
		var data []byte
		data, err = io.ReadAll(res)
		body, header = string(data), res.Header
		_ = res.Close()
	}
	c.CloseIdle("")
	<-ended
	return body, header, sent.Load(), err
}

type countingConn struct {
	net.Conn
	written *atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

func (c *countingConn) repeat(text string) error {
	for {
		if _, err := io.WriteString(c, text); err != nil {
			return err
		}
	}
}

// repeatAfter returns a runner that writes first once and then text without an end.
func repeatAfter(first, text string) func(net.Conn) error {
	return func(c net.Conn) error {
		_, _ = io.WriteString(c, first)
		return c.(*countingConn).repeat(text)
	}
}

// Guards against a head without an end that takes all memory of the gateway.
func TestEndlessHeadFailsAtItsBound(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	chunk := strings.Repeat("x", 1000)
	for _, c := range []struct {
		name, first, text string
		lines             bool
	}{
		{"status line", "", chunk, false},
		{"reason", "HTTP/1.1 200 ", chunk, false},
		{"header line", ok + "A: ", chunk, false},
		{"long lines", ok, "A: " + chunk + "\r\n", false},
		{"short lines", ok, "A:\r\n", true},
		{"interim responses' lines", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 103 Early Hints\r\n", "A:\r\n", true},
	} {
		g := NewWithT(t)
		heads := memory.NewAccount("heads", headBytes)
		_, _, written, err := exchangeWith(heads, repeatAfter(c.first, c.text))
		var large *memory.ErrTooLarge
		g.Expect(errors.As(err, &large)).To(BeTrue(), "%s: %v", c.name, err)
		g.Expect(err).To(BeAssignableToTypeOf(&ErrExchange{}), c.name)
		g.Expect(large.Bound).To(BeEquivalentTo(map[bool]int{false: MaxHead, true: MaxHeadLines}[c.lines]), c.name)
		g.Expect(large.Size).To(BeNumerically(">=", large.Bound), c.name)
		g.Expect(written).To(BeNumerically("<=", MaxHead+2*readBuffer), c.name)
		g.Expect(heads.Used()).To(BeZero(), c.name)
	}
}

// A head is rejected at a malformed line, although its end may never come.
func TestMalformedHeadFailsAtOnce(t *testing.T) {
	for _, text := range []string{"\r\n", "garbage\r\n", "HTTP/1.1\r\n", "HTTP/1.1 20 OK\r\n", "HTTP/1.1 200 OK\r\nno colon\r\n", "HTTP/1.1 200 OK\r\n:\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n", "HTTP/1.1 200 OK\r\nA : b\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			began := time.Now()
			_, _, _, err := exchangeWith(nil, func(c net.Conn) error {
				_, _ = io.WriteString(c, text)
				_, err := c.Read(make([]byte, 1))
				return err
			})
			var line *ErrHeadLine
			g.Expect(errors.As(err, &line)).To(BeTrue(), "%q: %v", text, err)
			g.Expect(time.Since(began)).To(BeZero())
		})
	}
}

// A runner sends a long request ID back, or more headers than usual.
func TestLargeHeadWithinBoundsIsRead(t *testing.T) {
	for _, c := range []struct{ lines, length int }{{1, 16 << 10}, {1, MaxHead - 100}, {MaxHeadLines - 3, 200}, {100, 10}} {
		g := NewWithT(t)
		heads := memory.NewAccount("heads", headBytes)
		value := strings.Repeat("v", c.length)
		body, header, _, err := exchangeWith(heads, func(conn net.Conn) error {
			out := bufio.NewWriterSize(conn, 100)
			fmt.Fprint(out, "HTTP/1.1 200 OK\r\n")
			for i := range c.lines {
				fmt.Fprintf(out, "H%d: %s\r\n", i, value)
			}
			fmt.Fprint(out, "Content-Length: 2\r\n\r\nok")
			return out.Flush()
		})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("ok"))
		g.Expect(header.Get(fmt.Sprintf("H%d", c.lines-1))).To(Equal(value))
		g.Expect(heads.Used()).To(BeZero())
	}
}

// Guards against large heads on all connections at once, each within its own bound, that take all
// memory together, and against sound runners that are refused because of them.
func TestLargeHeadsOnAllConnectionsStayInTheirShare(t *testing.T) {
	const connections = 500
	for _, unfinished := range []string{"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 2*readBuffer), "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: "+strings.Repeat("x", 100)+"\r\n", MaxHeadLines-2)} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			heads := memory.NewAccount("heads", headBytes)
			var full, sound atomic.Int64
			var done sync.WaitGroup
			release := make(chan struct{})
			for range connections {
				done.Go(func() {
					_, _, _, err := exchangeWith(heads, func(c net.Conn) error {
						_, _ = io.WriteString(c, unfinished)
						<-release
						return nil
					})
					var e *memory.ErrFull
					if errors.As(err, &e) && e.Bound == headBytes && e.Size > 0 {
						full.Add(1)
					}
				})
				done.Go(func() {
					body, _, _, err := exchangeWith(heads, func(c net.Conn) error {
						_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 2\r\n\r\nok")
						return err
					})
					if err == nil && body == "ok" {
						sound.Add(1)
					}
				})
			}
			synctest.Wait()
			used, answered := heads.Used(), sound.Load()
			close(release)
			done.Wait()
			g.Expect(used).To(And(BeNumerically(">", 0), BeNumerically("<=", headBytes)))
			g.Expect(full.Load()).To(BeNumerically(">", connections/2))
			g.Expect(answered).To(BeEquivalentTo(connections))
			g.Expect(heads.Used()).To(BeZero())
		})
	}
}

// Guards against trailers and lines of chunks that take memory without a bound, or as long as the
// response is kept.
func TestPartsOfChunkedBodyAreBounded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct{ first, text string }{
		{head, "1"}, {head + "1;a=", "x"}, {head + "2\r\nok\r\n0\r\n", "A: b\r\n"}, {head + "2\r\nok\r\n0\r\nA: ", "x"},
	} {
		g := NewWithT(t)
		_, _, written, err := exchangeWith(nil, repeatAfter(c.first, c.text))
		g.Expect(err).To(HaveOccurred(), c.first)
		g.Expect(written).To(BeNumerically("<=", 8*readBuffer), c.first)
	}
	g := NewWithT(t)
	c := New(Options{ConnectTimeout: time.Second, Dial: func(context.Context, string, string) (net.Conn, error) {
		here, there := net.Pipe()
		go func() {
			_, _ = http.ReadRequest(bufio.NewReader(there))
			_, _ = io.WriteString(there, head+"2\r\nok\r\n0\r\nA: b\r\n\r\n")
		}()
		return here, nil
	}})
	res, err := c.Do(context.Background(), "runner", &Request{Method: http.MethodGet, Target: "/", Host: "h"})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadAll(res)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.Trailer).To(BeEmpty())
}

// A head that was accepted is parsed from the buffer: parsing reads nothing that has no bound.
func TestAcceptedHeadIsParsedWithoutReading(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOf(rapid.SampledFrom([]string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 204 \n", "A: b\r\n", "A:\n", " more\r\n", "\t\r\n", " \r\n", "Transfer-Encoding: chunked\r\n", "Content-Length: 3\r\n", "\r\n", "\n", "x", ":", "\r", "\r\r\n"})).Draw(t, "parts")
		data := "HTTP/1.1 200 OK\r\n" + strings.Join(parts, "")
		here, there := net.Pipe()
		go func() {
			_, _ = io.WriteString(there, data)
			_ = there.Close()
		}()
		k := &conn{Conn: here, reader: bufio.NewReaderSize(here, readBuffer)}
		defer k.Close()
		if k.awaitHead() != nil {
			return
		}
		buffered, _ := k.reader.Peek(k.reader.Buffered())
		in := bufio.NewReader(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), failingReader{t}))
		_, _ = http.ReadResponse(in, &http.Request{Method: http.MethodGet})
	})
}

// failingReader fails the test when it is read.
type failingReader struct{ t *rapid.T }

func (r failingReader) Read([]byte) (int, error) {
	r.t.Fatal("the parser read beyond the head")
	return 0, io.EOF
}

// Guards against a runner that counts as crashed because the whole head of its response can't be parsed.
func TestWholeHeadThatCannotBeReadIsUnusable(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", "garbage\r\n\r\n", "\r\n\r\n", "HTTP/1.1 abc OK\r\n\r\n", "HTTP/1.1 200 OK\n: b\n\n",
		"HTTP/1.1 200 OK\r\nContent-Length: abc\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: none\r\n\r\n",
	} {
		g := NewWithT(t)
		s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
			if _, err := http.ReadRequest(in); err == nil {
				_, _ = io.WriteString(c, head)
			}
		})
		c := New(Options{ConnectTimeout: time.Second})
		_, err := c.Do(t.Context(), s.address, &Request{Method: http.MethodGet, Target: "/", Host: "h"})
		g.Expect(err).To(HaveOccurred(), "%q", head)
		g.Expect(IsUnusable(err)).To(BeTrue(), "%q: %v", head, err)
	}
}

// Guards against a head whose end is not where its parser finds it.
func TestWholeHeadEndsWhereItsReaderEnds(t *testing.T) {
	spectest.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SampledFrom([]string{"\r\n", "\n", "A: b", " c", "\r", "x", "\t", ":"}), 0, 12).Draw(t, "parts")
		text := "HTTP/1.1 200 OK" + strings.Join(parts, "")
		k := &conn{reader: bufio.NewReader(strings.NewReader(text))}
		size, lines, incomplete := k.bufferHead()
		in := bufio.NewReader(strings.NewReader(text))
		_, err := http.ReadResponse(in, nil)
		if errors.Is(err, io.ErrUnexpectedEOF) && incomplete == nil {
			t.Fatalf("%q has no end, but counts as %d bytes", text, size)
		}
		if err != nil || IsUnusable(incomplete) {
			return
		}
		if incomplete != nil {
			t.Fatalf("%q has an end, but counts as incomplete: %v", text, incomplete)
		}
		if read := len(text) - in.Buffered(); size != read || lines != strings.Count(text[:read], "\n") {
			t.Fatalf("%q ends after %d bytes, but counts as %d with %d lines", text, read, size, lines)
		}
	})
}

// Guards against a head that ends early, at any byte and in any way, and is taken for a response.
func TestHeadThatEndsEarlyIsNoHead(t *testing.T) {
	for name, framing := range map[string]string{"length": "Content-Length: 4\r\n", "chunks": "Transfer-Encoding: chunked\r\n", "neither": "Connection: close\r\n"} {
		for _, breaks := range []string{"\r\n", "\n"} {
			head := strings.ReplaceAll("HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"+framing+"\r\n", "\r\n", breaks)
			for after := range len(head) {
				g := NewWithT(t)
				_, _, _, err := exchangeWith(nil, func(c net.Conn) error {
					_, err := io.WriteString(c, head[:after])
					return err
				})
				var exchange *ErrExchange
				g.Expect(errors.As(err, &exchange)).To(BeTrue(), "%s: %q", name, head[:after])
			}
		}
	}
}

// Guards against the response to a HEAD, which has no body, that counts as one that ends with its connection.
func TestResponseToHeadIsNotCloseDelimited(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		}
	})
	c := newClient()
	for range 2 {
		res, err := c.Do(t.Context(), s.address, &Request{Method: http.MethodHead, Target: "/", Host: "h"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(res.CloseDelimited()).To(BeFalse())
		_, err = io.ReadAll(res)
		g.Expect(err).NotTo(HaveOccurred())
		_ = res.Close()
	}
	g.Expect(s.count()).To(Equal(1))
}
