package kind

import (
	"errors"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestEveryKindHasACompleteAnswer(t *testing.T) {
	for _, k := range All() {
		answer := k.Answer()
		assert.GreaterOrEqual(t, answer.Status, 400, k)
		assert.NotEmpty(t, answer.Outcome, k)
		assert.NotEmpty(t, answer.Title, k)
		assert.NotZero(t, answer.Exit, k)
	}
}

func TestKindSurvivesTheTextOfNetRPC(t *testing.T) {
	err := Errorf(StaleEpoch, "task %q: epoch 3 is below 4", "route-7")
	assert.Equal(t, StaleEpoch, Of(errors.New(err.Error())))
	assert.Equal(t, err.Detail, Parse(err.Error()).Detail)
	assert.Nil(t, Parse("plain text: without a kind"))
}

func TestErrorfKeepsItsCause(t *testing.T) {
	err := Errorf(Storage, "file %q: %w", "wal", io.ErrUnexpectedEOF)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, Internal, Of(io.EOF))
	assert.Empty(t, Of(nil))
}
