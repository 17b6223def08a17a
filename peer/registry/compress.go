package registry

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

// maxTableBytes bounds a decompressed table.
const maxTableBytes = 64 << 20

var errTableTooLarge = errors.New("the table is too large")

func compress(text []byte) []byte {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	writer.Write(text) // a bytes.Buffer returns no errors
	writer.Close()
	return compressed.Bytes()
}

// TableText returns the text of the whole table in an update; nil if it has none.
func (u Update) TableText() ([]byte, error) {
	if u.CompressedTable == nil {
		return u.Table, nil
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(u.CompressedTable)), maxTableBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompressing a table")
	}
	if len(text) > maxTableBytes {
		return nil, errTableTooLarge
	}
	return text, nil
}
