package e2e

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// An accepted configuration must take effect at every entry host, including one
// that was down when it was set, and no entry host may return to a lower version.
func TestAcceptedConfigurationIsInForceEverywhere(t *testing.T) {
	c := newCluster(t, 3, 3)
	for i := range 3 {
		c.eventually("the first version", func() bool { return c.counter(i, "config_version") == 1 })
	}
	c.entries[2].kill()
	for version := 1; version <= 5; version++ {
		text := fmt.Sprintf("services:\n  quote: {timeout: %ds, queue_limit: 50}\n", version)
		reply, err := c.sendCommand(0, uuid.NewString(), fmt.Sprintf("set config from FILE if version %d", version), text)
		require.NoError(t, err)
		require.EqualValues(t, "done", reply.Outcome, reply.Message)
	}
	c.entries[2].start()
	for i := range 3 {
		lowest := int64(0)
		c.eventually("version 6 in effect", func() bool {
			version := c.counter(i, "config_version")
			if version > 0 {
				assert.GreaterOrEqual(t, version, lowest)
				lowest = version
			}
			return version == 6
		})
	}
}

// An entry host that cannot confirm that its configuration is current must stop
// serving after stop_when_stale. A value of 0s lets it serve without limit.
func TestEntryHostCutOffFromControl(t *testing.T) {
	policies := map[string]bool{"stop_when_stale: 2s": false, "stop_when_stale: 0s": true}
	for policy, servesOn := range policies {
		t.Run(policy, func(t *testing.T) {
			c := newCluster(t, 1, 1)
			c.setConfig("entry: {" + policy + "}\n")
			c.startTargets("quote", 1, 0)
			c.eventually("version 2", func() bool { return c.counter(0, "config_version") == 2 })
			c.control[0].kill()
			if servesOn {
				got := c.sendRequest(0, "PUT", "quote", "", "quote")
				assert.Equal(t, "done", got.outcome, got.body)
				assert.True(t, c.ready(0))
				return
			}
			c.eventually("readiness ends", func() bool { return !c.ready(0) })
			c.control[0].start()
			c.eventually("readiness returns", func() bool { return c.ready(0) })
		})
	}
}

func TestBadStartsAreRefusedWithAClearError(t *testing.T) {
	c := newCluster(t, 1, 1)
	entry := filepath.Join(c.folder, "entry-1.yaml")

	ended := runProgram(t, "mangohill-entry", "--settings", entry)
	assert.Equal(t, 2, ended.exit)
	assert.Contains(t, ended.errors, "address already in use")

	ended = runProgram(t, "mangohill-control", "--settings", filepath.Join(c.folder, "control-1.yaml"), "--bootstrap")
	assert.NotEqual(t, 0, ended.exit, ended.errors)

	good, err := os.ReadFile(entry)
	require.NoError(t, err)
	bad := filepath.Join(c.folder, "bad.yaml")
	require.NoError(t, os.WriteFile(bad, append(good, []byte("no_such_key: 1\nstop_timeout: soon\n")...), 0o600))
	ended = runProgram(t, "mangohill-entry", "--settings", bad, "--check")
	assert.Equal(t, 2, ended.exit)
	assert.Contains(t, ended.output+ended.errors, "no_such_key")
	assert.Contains(t, ended.output+ended.errors, "stop_timeout")

	ended = runProgram(t, "mangohill-entry", "--settings", entry, "--check")
	assert.Equal(t, 0, ended.exit)
}
