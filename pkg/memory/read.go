package memory

import (
	"bytes"
	"errors"
	"io"
)

// minBuffer is the size of the first buffer of ReadUpTo, in bytes. Each further one is as large as all before.
const minBuffer = 4 << 10

// limitedReader fails with *ErrTooLarge once more than its bound has been read.
type limitedReader struct {
	in    io.Reader
	what  string
	bound int64
	read  int64
}

// Limit returns a reader that fails with *ErrTooLarge if in holds more than bound bytes.
func Limit(in io.Reader, what string, bound int64) io.Reader {
	return &limitedReader{in: in, what: what, bound: bound}
}

// Read implements io.Reader. It reads one byte more than the bound, to detect the end there.
func (l *limitedReader) Read(p []byte) (int, error) {
	left := l.bound + 1 - l.read
	if left <= 0 {
		return 0, TooLarge(l.what, l.read, l.bound)
	}
	n, err := l.in.Read(p[:min(int64(len(p)), left)])
	l.read += int64(n)
	if l.read > l.bound {
		return n - 1, TooLarge(l.what, l.read, l.bound)
	}
	return n, err
}

// CheckValues fails with *ErrTooLarge if JSON text has more than bound values, counted by their commas: a short
// value takes many times its length once it is decoded. Commas within strings, such as names, don't count.
func CheckValues(what string, text []byte, bound int64) error {
	if int64(bytes.Count(text, []byte(","))) <= bound {
		return nil
	}
	if n := commasOutsideStrings(text); n > bound {
		return TooLarge("values in the "+what, n, bound)
	}
	return nil
}

// commasOutsideStrings returns the number of commas that separate values.
func commasOutsideStrings(text []byte) (n int64) {
	inString := false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case c == '\\' && inString:
			i++
		case c == '"':
			inString = !inString
		case c == ',' && !inString:
			n++
		}
	}
	return n
}

// Read reads all of in and reserves the buffers as they grow, factor bytes for each byte of them: the
// decoded form may take more than the text. The first free bytes need no reservation. It fails with
// *ErrTooLarge beyond bound bytes and with *ErrFull if the account is full.
func Read(in io.Reader, what string, bound int64, u *Usage, free, factor int64) ([]byte, error) {
	data, _, err := ReadUpTo(Limit(in, what, bound), bound+1, func(more, buffered int64) error {
		if size := buffered + more; size > free {
			return u.Resize(factor * size)
		}
		return nil
	})
	return data.Join(), err
}

// Parts is data in the buffers into which it was read.
type Parts [][]byte

// Len returns the number of bytes.
func (p Parts) Len() (n int64) {
	for _, part := range p {
		n += int64(len(part))
	}
	return n
}

// Join returns the data in one buffer, whose capacity is that of all parts.
func (p Parts) Join() []byte {
	if len(p) == 1 {
		return p[0]
	}
	size := 0
	for _, part := range p {
		size += cap(part)
	}
	out := make([]byte, 0, size)
	for _, part := range p {
		out = append(out, part...)
	}
	return out
}

// ReadUpTo reads in until its end or up to limit bytes, and reports whether it reached the end. Before each new
// buffer, it calls reserve with its size and that of the buffers so far; an error of reserve ends the reading.
// The data is not moved meanwhile: data that never ends leaves no buffers to the garbage collector.
func ReadUpTo(in io.Reader, limit int64, reserve func(more, buffered int64) error) (data Parts, whole bool, err error) {
	for size := int64(0); size < limit; {
		more := min(max(minBuffer, size), limit-size)
		if err := reserve(more, size); err != nil {
			return data, false, err
		}
		size += more
		data = append(data, make([]byte, 0, more))
		if whole, err := fill(&data[len(data)-1], in); whole || err != nil {
			return data, whole, err
		}
	}
	return data, false, nil
}

// fill reads into a buffer until it is full, and reports whether the input ended.
func fill(buffer *[]byte, in io.Reader) (whole bool, err error) {
	for b := *buffer; len(b) < cap(b); {
		n, err := in.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		*buffer = b
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}
