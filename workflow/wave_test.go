package workflow

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestAWaveLimitsHostsInMaintenance(t *testing.T) {
	s := NewState()
	s.AdvanceTime(1000)
	require.NoError(t, s.Apply(&Op{StartWave: &StartWave{ID: 7, Hosts: []string{"b", "a", "b", "c"}, Parallel: 1, WithinMs: 500}}))
	wave := s.Wave(7)
	require.Equal(t, []string{"a", "b", "c"}, wave.Hosts)
	require.Equal(t, int64(1500), wave.DueMs)
	maintain := func(host string, stage Maintenance) error {
		return s.Apply(&Op{SetMaintenance: &SetMaintenance{Wave: 7, Host: host, Stage: stage}})
	}
	require.NoError(t, maintain("a", MaintenanceOrdered))
	require.Error(t, maintain("b", MaintenanceOrdered), "one host may be in maintenance at a time")
	require.NoError(t, maintain("a", MaintenanceBegun))
	require.Error(t, maintain("b", MaintenanceOrdered), "host a is still in maintenance")
	require.Error(t, maintain("a", MaintenanceOrdered), "a stage never goes back")
	require.NoError(t, maintain("a", MaintenanceEnded))
	require.NoError(t, maintain("b", MaintenanceOrdered))
	require.NoError(t, maintain("c", MaintenanceEnded), "a host that no longer exists skips the other stages")
	assert.False(t, wave.Completed())
	require.NoError(t, maintain("b", MaintenanceBegun))
	assert.True(t, wave.Completed())
	assert.True(t, wave.Active(), "host b has not returned")
	require.Error(t, maintain("d", MaintenanceOrdered))
	require.Error(t, s.Apply(&Op{StartWave: &StartWave{ID: 8, Parallel: 1}}))
	require.Error(t, s.Apply(&Op{StartWave: &StartWave{ID: 8, Hosts: []string{"a"}}}))
	require.NoError(t, s.Apply(&Op{StartWave: &StartWave{ID: 7, Hosts: []string{"z"}, Parallel: 9}}), "a repeated ID changes nothing")
	assert.Equal(t, uint32(1), s.Wave(7).Parallel)
}

func TestSnapshotContainsWaves(t *testing.T) {
	s := NewState()
	require.NoError(t, s.Apply(&Op{StartWave: &StartWave{ID: 1, Hosts: []string{"a", "b"}, Parallel: 2, WithinMs: 5}}))
	require.NoError(t, s.Apply(&Op{StartWave: &StartWave{ID: 2, Hosts: []string{"c"}, Parallel: 1, WithinMs: 5}}))
	require.NoError(t, s.Apply(&Op{SetMaintenance: &SetMaintenance{Wave: 1, Host: "a", Stage: MaintenanceBegun}}))
	data, err := s.Snapshot()
	require.NoError(t, err)
	restored, err := DecodeSnapshot(data)
	require.NoError(t, err)
	assert.Equal(t, s.Waves(), restored.Waves())
	again, err := restored.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, data, again)
}
