package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/internal/fleet"
	"mangohill.example/mangohill/kind"
)

func TestFaultsAreParsedAndUnknownOnesNamed(t *testing.T) {
	faults, err := parseFaults("shift,urgent")
	require.NoError(t, err)
	assert.Equal(t, fleet.Faults{LoadShift: true, UrgentEvery: 5 * time.Minute}, faults)
	_, err = parseFaults("flood")
	assert.True(t, kind.Is(err, kind.BadRequest))
	assert.ErrorContains(t, err, `"flood"`)
}

func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	run := func() scheduleRow {
		options := scheduleOptions{Seeds: 1, Parallel: 1, Duration: 20 * time.Minute}
		faults, err := parseFaults("all")
		require.NoError(t, err)
		row, err := options.measure("consortium", "learned", faults)
		require.NoError(t, err)
		return row
	}
	assert.Equal(t, run(), run())
}
