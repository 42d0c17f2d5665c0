package ingress

import "bytes"

// lineScanner finds the ends of events in a stream: empty lines. A line ends with LF, CR, or CR LF.
type lineScanner struct {
	// filled is set if the current line has bytes. carriage is set if the last byte was a CR, which an LF may
	// follow.
	filled, carriage bool
	// pairs is set once a line ended with CR LF. blank is set if an empty line ended with CR and its LF is
	// expected.
	pairs, blank bool
}

// scan returns how many bytes of a part of the stream belong to the current event, and whether that ends
// there. first is set if the event has no bytes yet.
func (l *lineScanner) scan(part []byte, first bool) (n int, ended bool) {
	for n < len(part) {
		if l.carriage {
			l.carriage = false
			if part[n] == '\n' {
				l.pairs = true
				n++
				if l.takeBlank() || first && n == 1 {
					return n, true
				}
				continue
			}
			if l.takeBlank() {
				return n, true
			}
		}
		end := bytes.IndexAny(part[n:], "\r\n")
		if end < 0 {
			l.filled = true
			return len(part), false
		}
		empty := end == 0 && !l.filled
		l.filled, l.carriage = false, part[n+end] == '\r'
		n += end + 1
		if !empty {
			continue
		}
		if !l.carriage || n == len(part) && !l.pairs {
			return n, true
		}
		l.blank = true
	}
	return n, false
}

// takeBlank reports whether an empty line ended with CR before, and forgets it.
func (l *lineScanner) takeBlank() bool {
	blank := l.blank
	l.blank = false
	return blank
}
