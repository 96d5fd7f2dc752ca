package wire

import (
	"bytes"
	"compress/flate"
	"io"
)

// maxConfigBytes bounds a configuration after decompression.
const maxConfigBytes = 64 << 20

// Deflate compresses a configuration for the feed.
func Deflate(body []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		panic(err) // only fails for an unknown level
	}
	_, _ = w.Write(body) // a bytes.Buffer never fails
	_ = w.Close()
	return b.Bytes()
}

// Inflate decompresses what Deflate returned. Output beyond maxConfigBytes is cut off.
func Inflate(body []byte) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxConfigBytes))
}
