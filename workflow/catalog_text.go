package workflow

import (
	"bytes"
	"compress/flate"
	"io"

	"mangohill.example/mangohill/kind"
)

// Text returns the catalog as the operator sent it. The error is of kind corrupt.
func (c *Catalog) Text() ([]byte, error) {
	if c.CompressedSource == nil {
		return c.Source, nil
	}
	text, err := io.ReadAll(flate.NewReader(bytes.NewReader(c.CompressedSource)))
	if err != nil {
		return nil, kind.Errorf(kind.Corrupt, "decompress the text of catalog version %d: %w", c.Version, err)
	}
	return text, nil
}

// TextOnly returns the version and the text of the catalog, without what the text was decoded to.
func (c *Catalog) TextOnly() *Catalog {
	if c == nil {
		return nil
	}
	return &Catalog{Version: c.Version, Source: c.Source, CompressedSource: c.CompressedSource}
}

// Compressed returns the catalog with its text compressed, unless it is already. The log,
// the snapshots and the memory of each member hold the text beside the queues that it was
// decoded to.
func (c *Catalog) Compressed() (*Catalog, error) {
	if c.CompressedSource != nil {
		return c, nil
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, kind.Errorf(kind.Internal, "compress a catalog: %w", err)
	}
	if _, err = w.Write(c.Source); err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, kind.Errorf(kind.Internal, "compress a catalog: %w", err)
	}
	out := *c
	out.Source, out.CompressedSource = nil, compressed.Bytes()
	return &out, nil
}

// checkSameText returns an error of kind version_conflict if another catalog of the same
// version has another text.
func (c *Catalog) checkSameText(other *Catalog) error {
	if c.CompressedSource != nil && bytes.Equal(c.CompressedSource, other.CompressedSource) {
		return nil // What the operator sends again, compressed by a program of the same version.
	}
	text, err := c.Text()
	if err != nil {
		return err
	}
	otherText, err := other.Text()
	if err != nil {
		return err
	}
	if !bytes.Equal(text, otherText) {
		return kind.Errorf(kind.VersionConflict, "catalog version %d exists with other content", c.Version)
	}
	return nil
}
