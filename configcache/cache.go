// Package configcache holds the cluster configuration in force on an entry
// host, and the time at which it was last known to be current.
package configcache

import (
	"slices"
	"sync"
	"time"

	"mangohill.example/mangohill/clusterconfig"
	"mangohill.example/mangohill/types"
)

// Cache holds one version of the configuration. A version never replaces a
// higher one. It is safe for concurrent use.
type Cache struct {
	mu        sync.Mutex
	version   uint64
	text      string
	config    *types.Config
	evacuated []string
	confirmed time.Time
}

// New returns a Cache without a configuration.
func New() *Cache { return &Cache{} }

// Update puts a version, with the failure domains that are evacuated under it, in force if it is higher than the current one, and
// reports whether it did. It returns an error for a text that does not parse:
// this version of the program cannot have accepted it.
func (c *Cache) Update(version uint64, text string, evacuated []string) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= c.version {
		return false, nil
	}
	config, err := clusterconfig.Parse(text)
	if err != nil {
		return false, err
	}
	c.version, c.text, c.config, c.evacuated = version, text, config, evacuated
	return true, nil
}

// Version returns the version in force, zero if there is none.
func (c *Cache) Version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// Text returns the version in force, its text and the failure domains that are evacuated
// under it. The list must not be modified.
func (c *Cache) Text() (version uint64, text string, evacuated []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version, c.text, c.evacuated
}

// Evacuated reports whether the failure domain is evacuated under the version in force.
func (c *Cache) Evacuated(domain string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.evacuated, domain)
}

// Config returns the configuration in force, nil if there is none. It must not
// be modified.
func (c *Cache) Config() *types.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config
}

// Confirm records that version was the newest accepted one at the time at.
func (c *Cache) Confirm(at time.Time, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= c.version && at.After(c.confirmed) {
		c.confirmed = at
	}
}

// ConfirmedAt returns the latest time at which the version in force was known
// to be current.
func (c *Cache) ConfirmedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmed
}

// MayServe reports whether the entry host may serve requests at the time now:
// it has a configuration, and the time since the last confirmation is at most
// entry.stop_when_stale, if that is set.
func (c *Cache) MayServe(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config == nil {
		return false
	}
	bound := c.config.Entry.StopWhenStale
	return bound == 0 || now.Sub(c.confirmed) <= bound
}
