package ingress

import (
	"net/http"

	"github.com/hopwell/hopwell/pkg/httpd"
	"github.com/hopwell/hopwell/pkg/memory"
)

const (
	// headCopies is the number of copies of a head's text while its request is served: as received, and
	// as written to a runner.
	headCopies = 2
	// headMaps is the number of maps that hold a request's header while it is served: as received,
	// without hop-by-hop headers, and as sent to a runner.
	headMaps = 3
)

// admitHead checks the bounds of a request's head. If the head is larger than usual, it reserves the
// memory that the head takes while the request is served. It fails with *memory.ErrTooLarge if the head
// exceeds a bound, and with *memory.ErrFull if the memory is used up.
func (x *exchange) admitHead(r *http.Request) error {
	size, lines := headerSize(r.Header)
	size, lines = size+len("Host")+len(r.Host)+lineSeparators, lines+1
	if table := x.g.table.Load(); table != nil {
		if limit := table.Config.Limits.HeaderBytes; limit > 0 && size > limit {
			return memory.TooLarge("head of a request", int64(size), int64(limit))
		}
	}
	if size > httpd.OrdinaryHead || lines > httpd.OrdinaryLines {
		if err := x.held.Grow(int64(headCopies*size + headMaps*lines*memory.HeadLineCost)); err != nil {
			return err
		}
	}
	httpd.AdmitHead(r)
	return nil
}

// lineSeparators is the smallest number of bytes of a header line beside its name and value.
const lineSeparators = len(":\r\n")

// headerSize returns the number of bytes and lines of a header. Blanks that the parser removed don't count.
func headerSize(h http.Header) (size, lines int) {
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v) + lineSeparators
			lines++
		}
	}
	return size, lines
}

// holdHeader reserves the memory of the first response's header, which takes it until the end of the stream
// although that response has ended. It fails with *memory.ErrFull if the memory is used up.
func (r *relay) holdHeader() error {
	if err := r.s.held.Grow(r.headerCost); err != nil {
		return err
	}
	r.headerCost = 0
	return nil
}

// sentHeaderCost returns the memory that the header of a response takes after it was sent: parsed, and in the
// buffer from which it was written. It returns 0 for one of ordinary size.
func sentHeaderCost(h http.Header) int64 {
	size, lines := headerSize(h)
	if size <= httpd.OrdinaryHead && lines <= httpd.OrdinaryLines {
		return 0
	}
	return int64(headCopies*size + lines*memory.HeadLineCost)
}
