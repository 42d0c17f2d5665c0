package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"

	"github.com/hopwell/hopwell/pkg/memory"
)

const (
	// MaxHead is the largest head of a response, in bytes. A runner sends the request's ID back, which
	// may fill the 16 KiB that operators allow for the head of a request.
	MaxHead = 32 << 10
	// MaxHeadLines is the largest number of lines in a head. A short line takes many times its length
	// once it is parsed.
	MaxHeadLines = 128
	// ordinaryLines is the number of lines up to which a head that fits into the read buffer is not
	// charged to Options.Heads, so that heads of ordinary size don't fail because others are large.
	ordinaryLines = 32
)

// ErrHeadLine reports that a line of a response's head is malformed.
type ErrHeadLine struct {
	// Number is the line's number, from 1; Start is how it begins.
	Number int
	Start  string
}

// ErrHead reports that the head of a response is whole but can't be read.
type ErrHead struct{ Err error }

// Error implements error.
func (e *ErrHead) Error() string { return "malformed head of a response: cause=" + e.Err.Error() }

// Unwrap returns the cause.
func (e *ErrHead) Unwrap() error { return e.Err }

// maxReportedLine is the length to which a malformed line is reported, in bytes.
const maxReportedLine = 64

// Error implements error.
func (e *ErrHeadLine) Error() string {
	return fmt.Sprintf("malformed line in a response's head: number=%d start=%q", e.Number, e.Start)
}

// IsUnusable reports whether an exchange failed although the runner responded: the response is malformed, exceeds
// a bound or belongs to another request.
func IsUnusable(err error) bool {
	var line *ErrHeadLine
	var head *ErrHead
	var large *memory.ErrTooLarge
	var full *memory.ErrFull
	var surplus *ErrSurplus
	return errors.As(err, &line) || errors.As(err, &head) || errors.As(err, &large) || errors.As(err, &full) || errors.As(err, &surplus)
}

// awaitHead waits until the whole head of a response is in the read buffer, and reserves the memory that it takes once
// it is parsed. It fails as bufferHead.
func (k *conn) awaitHead() error {
	size, lines, err := k.bufferHead()
	if err != nil {
		return err
	}
	return k.chargeHead(size, lines)
}

// bufferHead waits until the whole head of a response is in the read buffer, and returns its size and the number of its
// lines. It fails with *memory.ErrTooLarge or *memory.ErrFull before the head exceeds its bounds, and with *ErrHeadLine
// at the first malformed line, since no end of the head may follow.
func (k *conn) bufferHead() (size, lines int, err error) {
	searched := 0
	for {
		buffered, _ := k.reader.Peek(k.reader.Buffered())
		for {
			end := bytes.IndexByte(buffered[searched:], '\n')
			if end < 0 {
				break
			}
			line := bytes.TrimSuffix(buffered[size:searched+end], []byte("\r"))
			searched += end + 1
			size = searched
			if lines++; lines > MaxHeadLines {
				return size, lines, memory.TooLarge("lines of a response's head", int64(lines), MaxHeadLines)
			}
			if len(line) == 0 && lines > 1 {
				return size, lines, nil
			}
			if err := checkLine(line, lines); err != nil {
				return size, lines, err
			}
		}
		searched = len(buffered)
		if err := k.bufferMore(len(buffered)); err != nil {
			return size, lines, err
		}
	}
}

// checkLine fails with *ErrHeadLine if a line can't be the status line, if its number is 1, or else a header line. A
// line that continues another is malformed: a blank may be what is left of a name.
func checkLine(line []byte, number int) error {
	if number == 1 && isStatusLine(line) || number > 1 && hasFieldName(line) {
		return nil
	}
	return &ErrHeadLine{Number: number, Start: string(line[:min(len(line), maxReportedLine)])}
}

// isStatusLine reports whether a line has an HTTP version and a status from 100 to 599. Package net/http accepts any
// three digits.
func isStatusLine(line []byte) bool {
	proto, status, _ := bytes.Cut(line, []byte(" "))
	_, _, ok := http.ParseHTTPVersion(string(proto))
	code, _, _ := bytes.Cut(bytes.TrimLeft(status, " "), []byte(" "))
	return ok && len(code) == statusDigits && '1' <= code[0] && code[0] <= '5' && isDigit(code[1]) && isDigit(code[2])
}

// statusDigits is the number of digits of a status code.
const statusDigits = 3

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// hasFieldName reports whether a line begins with the name of a header and a colon. Package net/http drops lines whose
// names hold blanks, also those that say how long the body is.
func hasFieldName(line []byte) bool {
	for i, c := range line {
		if !httpguts.IsTokenRune(rune(c)) {
			return c == ':' && i > 0
		}
	}
	return false
}

// bufferMore waits for data beyond the n bytes that are buffered. It enlarges a full buffer.
func (k *conn) bufferMore(n int) error {
	if n >= MaxHead {
		return memory.TooLarge("head of a response", int64(n), MaxHead)
	}
	if n >= k.reader.Size() {
		if err := k.buffer.Resize(MaxHead); err != nil {
			return err
		}
		buffered, _ := k.reader.Peek(n)
		k.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), k.Conn), MaxHead)
	}
	if _, err := k.reader.Peek(n + 1); !errors.Is(err, io.EOF) {
		return err
	}
	return io.ErrUnexpectedEOF
}

// chargeHead reserves the memory that a parsed head takes, unless the head is of ordinary size.
func (k *conn) chargeHead(size, lines int) error {
	if size <= readBuffer && lines <= ordinaryLines {
		return k.head.Resize(0)
	}
	return k.head.Resize(int64(size + lines*memory.HeadLineCost))
}

// releaseBuffer returns to a read buffer of the usual size. The buffer must be empty if the connection is
// used again.
func (k *conn) releaseBuffer() {
	if k.reader.Size() > readBuffer {
		k.reader = bufio.NewReaderSize(k.Conn, readBuffer)
	}
	k.buffer.Release()
}
