package overload

import (
	"net"
	"time"
)

// Listener closes the new connections of another listener that a Shedder rejects.
type Listener struct {
	net.Listener
	Shedder *Shedder
	// Closed is called for each connection that was closed; nil if that is of no interest.
	Closed func()
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || !l.Shedder.Close(time.Now()) {
			return c, err
		}
		_ = c.Close()
		if l.Closed != nil {
			l.Closed()
		}
	}
}
