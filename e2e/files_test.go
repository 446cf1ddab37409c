package e2e

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

func removeAll(t *testing.T, folder string) {
	t.Helper()
	require.NoError(t, os.RemoveAll(folder))
}
