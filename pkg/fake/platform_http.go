package fake

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hopwell/hopwell/pkg/platform"
)

// PlatformHandler serves a key-value service, an instance list and a weight
// store over the platform's HTTP API.
func PlatformHandler(kv platform.KV, list platform.List, weights platform.Weights) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv/{key...}", func(w http.ResponseWriter, r *http.Request) {
		v, err := kv.Get(r.Context(), r.PathValue("key"))
		writeValue(w, v, err)
	})
	mux.HandleFunc("GET /watch/{key...}", func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseUint(r.URL.Query().Get(platform.ParamAfter), 10, 64)
		wait, _ := time.ParseDuration(r.URL.Query().Get(platform.ParamWait))
		v, err := kv.Watch(r.Context(), r.PathValue("key"), after, wait)
		writeValue(w, v, err)
	})
	mux.HandleFunc("PUT /kv/{key...}", func(w http.ResponseWriter, r *http.Request) { swap(kv, w, r) })
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, r *http.Request) {
		all, err := list.Instances(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		writeList(w, r, all)
	})
	mux.HandleFunc("POST /weights", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		writeFetchResult(w, weights.Fetch(r.Context(), q.Get("model"), q.Get("version"), q.Get("adapter")))
	})
	return mux
}

// writeList sends the list with its ETag, or 304 Not Modified if the client
// has the same list.
func writeList(w http.ResponseWriter, r *http.Request, all []platform.Instance) {
	slices.SortFunc(all, func(a, b platform.Instance) int { return strings.Compare(a.Name, b.Name) })
	data, err := json.Marshal(all)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(data), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(data)
}

func writeValue(w http.ResponseWriter, v platform.Value, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(platform.HeaderVersion, strconv.FormatUint(v.Version, 10))
	_, _ = w.Write(v.Data)
}

func swap(kv platform.KV, w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.ParseUint(r.URL.Query().Get(platform.ParamVersion), 10, 64)
	ttl, _ := time.ParseDuration(r.URL.Query().Get(platform.ParamTTL))
	data, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxValue+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	next, err := kv.Swap(r.Context(), r.PathValue("key"), version, data, ttl)
	var conflict *platform.ErrConflict
	if errors.As(err, &conflict) {
		w.Header().Set(platform.HeaderVersion, strconv.FormatUint(conflict.Have, 10))
		w.WriteHeader(http.StatusConflict)
		return
	}
	writeValue(w, platform.Value{Version: next}, err)
}

func writeFetchResult(w http.ResponseWriter, err error) {
	var throttled *platform.ErrThrottled
	if errors.As(err, &throttled) {
		w.Header().Set("Retry-After", strconv.FormatFloat(throttled.RetryAfter.Seconds(), 'f', 3, 64))
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	w.WriteHeader(http.StatusOK)
}
