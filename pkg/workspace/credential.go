package workspace

import (
	"fmt"
	"strings"
)

// bearerScheme is the authentication scheme of a key in an Authorization header (RFC 6750).
const bearerScheme = "Bearer"

// ErrCredential reports that a request has no valid key of a workspace.
type ErrCredential struct {
	// Why is "missing", "malformed" or "unknown".
	Why string
	// Fingerprint identifies the key; it is empty if there is none.
	Fingerprint string
}

// Error implements error.
func (e *ErrCredential) Error() string {
	return fmt.Sprintf("no valid key: why=%s key=%s", e.Why, e.Fingerprint)
}

// Values of ErrCredential.Why.
const (
	Missing   = "missing"
	Malformed = "malformed"
	Unknown   = "unknown"
)

// Credential returns the digest of the key in the values of a request's Authorization header. It
// fails with *ErrCredential unless there is exactly one key.
func Credential(values []string) (Digest, error) {
	switch len(values) {
	case 0:
		return Digest{}, &ErrCredential{Why: Missing}
	case 1:
	default:
		return Digest{}, &ErrCredential{Why: Malformed}
	}
	scheme, key, found := strings.Cut(strings.TrimSpace(values[0]), " ")
	key = strings.TrimLeft(key, " ")
	if !found || !strings.EqualFold(scheme, bearerScheme) || key == "" || strings.ContainsAny(key, " \t,") {
		return Digest{}, &ErrCredential{Why: Malformed}
	}
	return DigestOf(key), nil
}

// Authenticate returns the workspace that the key in the values of a request's Authorization
// header belongs to, and the digest of the key. It fails with *ErrCredential.
func (d *Directory) Authenticate(values []string) (*Workspace, Digest, error) {
	digest, err := Credential(values)
	if err != nil {
		return nil, Digest{}, err
	}
	w := d.ByKey(digest)
	if w == nil {
		return nil, digest, &ErrCredential{Why: Unknown, Fingerprint: digest.Fingerprint()}
	}
	return w, digest, nil
}
