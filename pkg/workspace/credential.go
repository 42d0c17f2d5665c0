package workspace

import (
	"fmt"
	"strings"
)

// scheme is how a header says that what follows is a key (RFC 6750).
const scheme = "Bearer"

// ErrCredential reports that a request has no key that speaks for a workspace.
type ErrCredential struct {
	// Why is "missing", "malformed" or "unknown".
	Why string
	// Fingerprint tells which key it is, where there is one.
	Fingerprint string
}

// Error implements error.
func (e *ErrCredential) Error() string {
	return fmt.Sprintf("no valid key: why=%s key=%s", e.Why, e.Fingerprint)
}

// Why a request has no valid key.
const (
	Missing   = "missing"
	Malformed = "malformed"
	Unknown   = "unknown"
)

// Credential returns the digest of the key in the values of a request's Authorization
// header. It fails with *ErrCredential if there is none, or not exactly one.
func Credential(values []string) (Digest, error) {
	switch len(values) {
	case 0:
		return Digest{}, &ErrCredential{Why: Missing}
	case 1:
	default:
		return Digest{}, &ErrCredential{Why: Malformed}
	}
	name, key, found := strings.Cut(strings.TrimSpace(values[0]), " ")
	key = strings.TrimLeft(key, " ")
	if !found || !strings.EqualFold(name, scheme) || key == "" || strings.ContainsAny(key, " \t,") {
		return Digest{}, &ErrCredential{Why: Malformed}
	}
	return DigestOf(key), nil
}

// Authenticate returns the workspace that the values of a request's Authorization header
// speak for, and the digest of its key. It fails with *ErrCredential.
func (d *Directory) Authenticate(values []string) (*Workspace, Digest, error) {
	key, err := Credential(values)
	if err != nil {
		return nil, Digest{}, err
	}
	w := d.ByKey(key)
	if w == nil {
		return nil, key, &ErrCredential{Why: Unknown, Fingerprint: key.Fingerprint()}
	}
	return w, key, nil
}
