package process

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/hopwell/hopwell/pkg/quarantine"
)

// Paths of the quarantined sets of parts, on the port of the metrics. GET lists them; DELETE of
// quarantinedPath/SET ends the quarantine of one at all gateways.
const (
	quarantinedPath = "/quarantined-parts"
	paramSet        = "set"
)

// listQuarantined writes one line for each quarantined set.
func (p *Ingress) listQuarantined(w http.ResponseWriter, _ *http.Request) {
	for _, b := range p.Ingress.QuarantinedParts() {
		_, _ = fmt.Fprintf(w, "set=%s left=%s parts=%s\n", b.Parts.ID(), b.Left, b.Parts)
	}
}

// liftQuarantined ends the quarantine of a set.
func (p *Ingress) liftQuarantined(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue(paramSet), 16, 64)
	if err != nil {
		http.Error(w, fmt.Sprintf("invalid set: %q, want 16 hexadecimal digits", r.PathValue(paramSet)), http.StatusBadRequest)
		return
	}
	if err := p.Ingress.LiftPartQuarantine(quarantine.SetID(id)); err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// internalHandler serves metrics and the operators' calls.
func (p *Ingress) internalHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+quarantinedPath, p.listQuarantined)
	mux.HandleFunc("DELETE "+quarantinedPath+"/{"+paramSet+"}", p.liftQuarantined)
	mux.HandleFunc("/", p.serveMetrics)
	return mux
}
