package engine

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// resetRounds is the number of calls whose connections are reset. The order of a reset and a write is not determined.
const resetRounds = 50

// serveRaw starts a service that writes a response as it is once it has read the head of a request. It then resets the
// connection, or closes it in order and reads the rest of the request. It returns the service's URL.
func serveRaw(t *testing.T, response string, reset bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				tcp := c.(*net.TCPConn)
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, response)
				if reset {
					_ = tcp.SetLinger(0)
					return
				}
				_ = tcp.CloseWrite()
				_, _ = io.Copy(io.Discard, c)
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// call sends a request with a body to the service at a URL and reads the response.
func call(t *testing.T, service string, body []byte) (string, error) {
	client, err := NewServiceClient(service)
	if err != nil {
		t.Fatal(err)
	}
	res, err := client.Call(t.Context(), httptest.NewRequest(http.MethodPost, "/path?q=1", bytes.NewReader(body)))
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return string(data), err
}

// Guards against the part of a response without a length that counts as complete because the connection was reset while
// the request's body was written.
func TestResetOfServiceBesideUploadIsNoEnd(t *testing.T) {
	g := NewWithT(t)
	service := serveRaw(t, "HTTP/1.1 200 OK\r\n\r\npart of", true)
	for range resetRounds {
		got, err := call(t, service, make([]byte, 3<<20))
		g.Expect(err).To(HaveOccurred(), "a part is taken for a whole response: %q", got)
	}
}

// Guards against a malformed response of a service that counts as a response.
func TestMalformedResponseOfServiceIsNoResponse(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
	for _, response := range []string{
		"HTTP/1.1 000 Odd\r\nContent-Length: 5\r\n\r\nwhole", "HTTP/1.1 000 Odd\r\n\r\n" + whole, "HTTP/1.1 999 Odd\r\nContent-Length: 5\r\n\r\nwhole",
		strings.Replace(whole, "\r\n", "\r\nX Bad: 1\r\n", 1), strings.Replace(whole, "\r\n", "\r\nX-Bad : 1\r\n", 1),
		"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nwhole", strings.Replace(whole, "\r\n\r\n", "\r\n continued\r\n\r\n", 1),
	} {
		g := NewWithT(t)
		got, err := call(t, serveRaw(t, response, false), []byte("x"))
		var unreachable *ErrUnreachable
		g.Expect(errors.As(err, &unreachable)).To(BeTrue(), "%q: %q %v", response, got, err)
		g.Expect(unreachable.Sent).To(BeTrue(), "%q", response)
	}
}

// Guards against requests and responses that are changed on their way.
func TestServiceCallIsUnchanged(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = fmt.Fprintf(w, "%s %s %s %s %d", r.Method, r.RequestURI, r.Header.Get("X-Own"), body, r.ContentLength)
	}))
	defer server.Close()
	client, err := NewServiceClient(server.URL)
	g.Expect(err).NotTo(HaveOccurred())
	for body, want := range map[string]string{"": "POST /a%2Fb?q=%20c kept  0", "body": "POST /a%2Fb?q=%20c kept body 4"} {
		r := httptest.NewRequest(http.MethodPost, "/a%2Fb?q=%20c", strings.NewReader(body))
		r.Header.Set("X-Own", "kept")
		r.Header.Set("Content-Length", "99")
		res, err := client.Call(t.Context(), r)
		g.Expect(err).NotTo(HaveOccurred())
		got, err := io.ReadAll(res.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(got)).To(Equal(want))
		g.Expect(res.Header.Get("Content-Encoding")).To(Equal("gzip"))
		g.Expect(res.Body.Close()).To(Succeed())
	}
}

// Guards against a header that a service reads as another line, and against calls that count as sent although nothing was.
func TestCallThatIsNotSentIsReported(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewTLSServer(http.NotFoundHandler())
	defer server.Close()
	client, err := NewServiceClient(server.URL)
	g.Expect(err).NotTo(HaveOccurred())
	for _, header := range []http.Header{{}, {"X-Own": {"a\r\nX-Other: b"}}, {"X Own": {"a"}}} {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Header = header
		_, err := client.Call(t.Context(), r)
		var unreachable *ErrUnreachable
		g.Expect(errors.As(err, &unreachable)).To(BeTrue(), "%v", err)
		g.Expect(unreachable.Sent).To(BeFalse(), "%v", err)
	}
}
