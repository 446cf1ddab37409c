package node

import (
	"expvar"
	"fmt"
	"net/http"
)

// varsHandler serves the process's variables (cmdline, memstats) and those of one node
// in the format of package expvar. The node's variables are not published globally, so
// that several nodes can run in one process.
func varsHandler(name string, vars *expvar.Map) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		fmt.Fprintf(w, "{\n")
		expvar.Do(func(kv expvar.KeyValue) {
			fmt.Fprintf(w, "%q: %s,\n", kv.Key, kv.Value)
		})
		fmt.Fprintf(w, "%q: %s\n}\n", name, vars)
	})
}

// health answers a health probe with 200 while check returns true, else with 503.
func health(check func() bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if check() {
			fmt.Fprintln(w, "ok")
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintln(w, "not ready")
	}
}
