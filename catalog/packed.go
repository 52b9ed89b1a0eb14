package catalog

import (
	"bytes"
	"compress/flate"
	"hash/crc32"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// ErrInvalidPacked means that the content of a Packed is damaged, too large or of another
// version.
var ErrInvalidPacked = errors.New("catalog: invalid packed catalog")

// MaxPackedBytes bounds the content of a Packed, and maxUnpackedBytes what it expands to.
const (
	MaxPackedBytes   = 4 << 20
	maxUnpackedBytes = 16 << 20
)

// Packed is a catalog encoded for other processes: CBOR, compressed by deflate. Processes of
// the same build pack a version to the same bytes, so that a copy can be put together from
// parts of several of them.
type Packed struct {
	Version Version
	// Sum is the checksum of the content, CRC-32.
	Sum     uint32
	Content []byte
}

// Pack encodes a catalog.
func Pack(c *Catalog) (Packed, error) {
	plain, err := cbor.Marshal(c)
	if err != nil {
		return Packed{}, errors.Wrap(err, "catalog: pack")
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return Packed{}, errors.Wrap(err, "catalog: pack")
	}
	if _, err := w.Write(plain); err != nil {
		return Packed{}, errors.Wrap(err, "catalog: pack")
	}
	if err := w.Close(); err != nil {
		return Packed{}, errors.Wrap(err, "catalog: pack")
	}
	if b.Len() > MaxPackedBytes || len(plain) > maxUnpackedBytes {
		return Packed{}, errors.Wrapf(ErrInvalidPacked, "%d bytes, %d unpacked", b.Len(), len(plain))
	}
	return Packed{Version: c.Version, Sum: crc32.ChecksumIEEE(b.Bytes()), Content: b.Bytes()}, nil
}

// Unpack decodes the catalog.
func (p Packed) Unpack() (*Catalog, error) {
	if sum := crc32.ChecksumIEEE(p.Content); sum != p.Sum {
		return nil, errors.Wrapf(ErrInvalidPacked, "checksum %08x, want %08x", sum, p.Sum)
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.Content)), maxUnpackedBytes+1))
	if err != nil {
		return nil, errors.Wrap(ErrInvalidPacked, err.Error())
	}
	if len(plain) > maxUnpackedBytes {
		return nil, errors.Wrapf(ErrInvalidPacked, "more than %d bytes", maxUnpackedBytes)
	}
	c := &Catalog{}
	if err := cbor.Unmarshal(plain, c); err != nil {
		return nil, errors.Wrap(ErrInvalidPacked, err.Error())
	}
	if c.Version != p.Version {
		return nil, errors.Wrapf(ErrInvalidPacked, "version %d, want %d", c.Version, p.Version)
	}
	return c, nil
}
