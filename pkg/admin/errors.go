package admin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// ErrParam reports a missing or invalid parameter.
type ErrParam struct {
	Name, Expected string
}

// Error implements error.
func (e *ErrParam) Error() string {
	return fmt.Sprintf("bad parameter: name=%s expected=%q", e.Name, e.Expected)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, ErrorReply{Error: err.Error(), Kind: strings.TrimPrefix(fmt.Sprintf("%T", err), "*")})
}
