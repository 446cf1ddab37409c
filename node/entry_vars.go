package node

import (
	"expvar"
	"time"

	"mangohill.example/mangohill/burn"
	"mangohill.example/mangohill/kind"
	"mangohill.example/mangohill/membership"
	"mangohill.example/mangohill/proxy"
	"mangohill.example/mangohill/registry"
)

// entryVars holds the metrics of an entry process. Their number is fixed.
type entryVars struct {
	all        *expvar.Map
	proxy      proxy.Metrics
	registry   registry.Metrics
	membership membership.Metrics
	requestUs  *expvar.Int
}

func newEntryVars() *entryVars {
	v := &entryVars{all: new(expvar.Map)}
	v.proxy = proxy.Metrics{
		Requests:        v.counter("requests"),
		Sends:           v.counter("sends"),
		Retries:         v.counter("retries"),
		Hops:            v.counter("hops"),
		Hedges:          v.counter("hedges"),
		Done:            v.counter("requests_done"),
		NotRun:          v.counter("requests_not_run"),
		Unknown:         v.counter("requests_unknown"),
		Canceled:        v.counter("requests_canceled"),
		SilenceTimeouts: v.counter("silent_connections"),
		Claims:          v.counter("claims"),
	}
	v.registry = registry.Metrics{
		Announcements:      v.counter("announcements"),
		Replications:       v.counter("announcement_spreads"),
		ReplicationsFailed: v.counter("announcement_spreads_failed"),
		Refreshes:          v.counter("target_refreshes"),
	}
	v.membership = membership.Metrics{
		SentBytes:     v.counter("heartbeat_bytes"),
		SentDatagrams: v.counter("heartbeats"),
		BadDatagrams:  v.counter("bad_heartbeats"),
	}
	v.requestUs = v.counter("request_microseconds")
	return v
}

func (v *entryVars) counter(name string) *expvar.Int {
	counter := new(expvar.Int)
	v.all.Set(name, counter)
	return counter
}

// addGauges adds the metrics that are read from the components of an entry process.
func (v *entryVars) addGauges(e *Entry) {
	v.all.Set("ready", expvar.Func(func() any { return e.Ready() }))
	v.all.Set("config_version", expvar.Func(func() any { return e.config.Version() }))
	v.all.Set("burn_alerts_fast", expvar.Func(func() any { return e.countAlerts(burn.AlertFast) }))
	v.all.Set("burn_alerts_slow", expvar.Func(func() any { return e.countAlerts(burn.AlertSlow) }))
	v.all.Set("targets", expvar.Func(func() any { return len(e.targets.Targets()) }))
	v.all.Set("workers", expvar.Func(func() any { return e.workers.Metrics().Workers }))
	v.all.Set("syncs", expvar.Func(func() any { return e.workers.Metrics().Syncs }))
	v.all.Set("sync_bytes_in", expvar.Func(func() any { return e.workers.Metrics().SyncBytesIn }))
	v.all.Set("sync_bytes_out", expvar.Func(func() any { return e.workers.Metrics().SyncBytesOut }))
	v.all.Set("exchanges", expvar.Func(func() any { return e.workers.Metrics().Exchanges }))
	v.all.Set("exchange_errors", expvar.Func(func() any { return e.workers.Metrics().ExchangeErrors }))
}

// observe records a finished request of a caller.
func (v *entryVars) observe(_ string, duration time.Duration, _ kind.Outcome, _ int) {
	v.requestUs.Add(duration.Microseconds())
}
