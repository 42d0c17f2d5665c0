package httpd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hopwell/hopwell/pkg/unread"
)

// unreadBytes returns the number of bytes that have arrived at the connections of a port and are not read.
func unreadBytes(t *testing.T, port int) (total int64) {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	const listening = "0A"
	for line := range strings.Lines(string(data)) {
		f := strings.Fields(line)
		if !strings.HasSuffix(f[1], fmt.Sprintf(":%04X", port)) || f[3] == listening {
			continue
		}
		_, queue, _ := strings.Cut(f[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		total += n
	}
	return total
}

// Guards against unread bytes that take the memory of the process: of bodies that nothing reads, in large pieces and
// in small ones.
func TestUnreadBytesAreBounded(t *testing.T) {
	const clients = 50
	for _, piece := range []int{1, 1000, 64 << 10} {
		g := NewWithT(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(unread.Limit(l)).To(Succeed())
		bounds := &Bounds{Connections: 2 * clients, Rejected: func(net.Addr, error) {}, Failed: func(err error) { t.Error(err) }}
		blocked := make(chan struct{})
		server := bounds.Server(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-blocked }))
		go func() { _ = server.Serve(bounds.Listener(l)) }()
		var sending sync.WaitGroup
		for range clients {
			c, err := net.Dial("tcp", l.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer c.Close()
			sending.Go(func() {
				_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000000\r\n\r\n")
				_ = c.SetWriteDeadline(time.Now().Add(time.Second))
				for {
					if _, err := c.Write(make([]byte, piece)); err != nil {
						return
					}
				}
			})
		}
		sending.Wait()
		unreadNow := unreadBytes(t, l.Addr().(*net.TCPAddr).Port)
		g.Expect(unreadNow).To(And(BeNumerically(">", clients*unread.Buffer/2), BeNumerically("<=", clients*unread.Max)), "%d", piece)
		close(blocked)
		_ = server.Close()
	}
}
