package burn

import (
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mangohill.example/mangohill/controlapi"
	"mangohill.example/mangohill/kind"
)

func TestThePictureIsWellFormedAndDrawsEveryRow(t *testing.T) {
	r := NewRecorder("entry-1", start)
	observeMany(r, start, 900, time.Millisecond, kind.OutcomeDone, http.StatusOK)
	observeMany(r, start, 100, time.Millisecond, kind.OutcomeUnknown, http.StatusBadGateway)
	r.Observe(start, "<quote & co>", time.Millisecond, kind.OutcomeDone, http.StatusOK)
	rows := throughJSON(t, NewReport(r.Snapshot(start), nil, objective).Rows())

	var picture strings.Builder
	require.NoError(t, WriteSVG(&picture, rows))
	assert.Equal(t, len(rows), strings.Count(picture.String(), "<rect"))
	assert.Contains(t, picture.String(), "100, fast alert")
	wellFormed(t, picture.String())

	var page strings.Builder
	require.NoError(t, WriteHTML(&page, rows))
	assert.Equal(t, len(rows)+1, strings.Count(page.String(), "<tr>"))
	assert.NotContains(t, page.String(), "<quote")
}

func throughJSON(t *testing.T, rows []controlapi.Row) []controlapi.Row {
	t.Helper()
	data, err := json.Marshal(rows)
	require.NoError(t, err)
	var back []controlapi.Row
	require.NoError(t, json.Unmarshal(data, &back))
	return back
}

func wellFormed(t *testing.T, text string) {
	t.Helper()
	decoder := xml.NewDecoder(strings.NewReader(text))
	for {
		_, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return
		}
		require.NoError(t, err)
	}
}

func TestTheAxisIsLogarithmicAndClamped(t *testing.T) {
	assert.Equal(t, 0, position(0))
	assert.Equal(t, plotWidth, position(1e9))
	assert.Equal(t, position(10)-position(1), position(100)-position(10))
}
