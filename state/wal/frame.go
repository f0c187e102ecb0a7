package wal

import (
	"encoding/binary"
	"hash/crc32"
	"math/bits"

	"github.com/cockroachdb/errors"
)

// A frame is a 24-byte header, the body, zero padding and the CRC-32C of body and padding. Frames are a multiple of 8 bytes
// long and aligned, so that each part of a header or checksum that lies in one sector has at least 8 bytes.
//
//	offset 0  magic
//	offset 4  length of the body
//	offset 8  complement of the offset up to which the file was synced before this frame was written
//	offset 16 flags
//	offset 20 CRC-32C of the header up to here
const (
	headerBytes    = 24
	trailerBytes   = 4
	frameAlignment = 8
	frameMagic     = 0x53475731 // "SGW1"
	// sectorBytes is the unit in which disks write. A crash can leave sectors of an unsynced write as zeros.
	sectorBytes = 512
	// flagSparseSector marks a frame in which a whole sector has at most one set bit. In such a frame, a sector of zeros
	// is no evidence of a torn write.
	flagSparseSector = 1
	// maxBodyBytes bounds a frame in a segment. It leaves room for one entry of raft.MaxEntryBytes.
	maxBodyBytes = 32 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frameBytes returns the size of a frame around a body.
func frameBytes(body int) int {
	return (headerBytes + body + trailerBytes + frameAlignment - 1) / frameAlignment * frameAlignment
}

// appendFrame appends a frame to a batch that will be written at offset start of a file.
func appendFrame(batch []byte, batchOffset int64, body []byte) []byte {
	frameStart := len(batch)
	batch = append(batch, make([]byte, frameBytes(len(body)))...)
	frame := batch[frameStart:]
	copy(frame[headerBytes:], body)
	binary.LittleEndian.PutUint32(frame[len(frame)-trailerBytes:], crc32.Checksum(frame[headerBytes:len(frame)-trailerBytes], castagnoli))
	var flags uint32
	if fewestSectorBits(frame, batchOffset+int64(frameStart), headerBytes) <= 1 {
		flags = flagSparseSector
	}
	binary.LittleEndian.PutUint32(frame, frameMagic)
	binary.LittleEndian.PutUint32(frame[4:], uint32(len(body)))
	binary.LittleEndian.PutUint64(frame[8:], ^uint64(batchOffset))
	binary.LittleEndian.PutUint32(frame[16:], flags)
	binary.LittleEndian.PutUint32(frame[20:], crc32.Checksum(frame[:20], castagnoli))
	return batch
}

// fewestSectorBits returns the smallest number of set bits in any sector of data from position from on. data starts at
// offset of a file.
func fewestSectorBits(data []byte, offset int64, from int) int {
	fewest := 8 * sectorBytes
	for from < len(data) {
		end := min(len(data), from+sectorBytes-int((offset+int64(from))%sectorBytes))
		count := 0
		for _, b := range data[from:end] {
			count += bits.OnesCount8(b)
		}
		fewest = min(fewest, count)
		from = end
	}
	return fewest
}

type frameHeader struct {
	length       int
	syncedOffset uint64
	flags        uint32
}

// parseHeader returns false if data does not start with a valid header.
func parseHeader(data []byte) (frameHeader, bool) {
	if len(data) < headerBytes || binary.LittleEndian.Uint32(data) != frameMagic {
		return frameHeader{}, false
	}
	if binary.LittleEndian.Uint32(data[20:]) != crc32.Checksum(data[:20], castagnoli) {
		return frameHeader{}, false
	}
	return frameHeader{
		length:       int(binary.LittleEndian.Uint32(data[4:])),
		syncedOffset: ^binary.LittleEndian.Uint64(data[8:]),
		flags:        binary.LittleEndian.Uint32(data[16:]),
	}, true
}

// parseFrame returns the body and the size of the frame at the start of data, or false if it is damaged.
func parseFrame(data []byte, maxBody int) (body []byte, size int, ok bool) {
	h, ok := parseHeader(data)
	if !ok || h.length > maxBody {
		return nil, 0, false
	}
	size = frameBytes(h.length)
	if size > len(data) {
		return nil, 0, false
	}
	checked := data[headerBytes : size-trailerBytes]
	if binary.LittleEndian.Uint32(data[size-trailerBytes:]) != crc32.Checksum(checked, castagnoli) {
		return nil, 0, false
	}
	return checked[:h.length], size, true
}

// scanFrames calls visit with the body of each frame and returns the size of the intact part. A damaged frame ends the
// scan: if it can only be the unsynced tail of a write that a crash tore, and tornAllowed is set, the scan succeeds.
// Otherwise the damage may be in an acknowledged record, and ErrCorrupt is returned.
func scanFrames(data []byte, tornAllowed bool, visit func(body []byte) error) (int, error) {
	offset := 0
	for offset < len(data) {
		body, size, ok := parseFrame(data[offset:], maxBodyBytes)
		if !ok {
			if tornAllowed && isTorn(data, offset) {
				return offset, nil
			}
			return offset, errors.Wrapf(ErrCorrupt, "damaged frame at offset %d", offset)
		}
		if err := visit(body); err != nil {
			return offset, errors.Wrapf(err, "frame at offset %d", offset)
		}
		offset += size
	}
	return offset, nil
}

// isTorn reports whether the damaged frame at offset shows the traces of a torn write: missing bytes or a sector of
// zeros. A flipped bit leaves neither.
func isTorn(data []byte, offset int) bool {
	if wasSynced(data, offset) {
		return false
	}
	rest := data[offset:]
	if len(rest) < headerBytes {
		return true
	}
	h, ok := parseHeader(rest)
	if !ok {
		return fewestSectorBits(rest[:headerBytes], int64(offset), 0) == 0
	}
	if h.length > maxBodyBytes {
		return false
	}
	size := frameBytes(h.length)
	if size > len(rest) {
		return true
	}
	return h.flags&flagSparseSector == 0 && fewestSectorBits(rest[:size], int64(offset), headerBytes) == 0
}

// wasSynced reports whether a later frame proves that the frame at offset had been synced.
func wasSynced(data []byte, offset int) bool {
	for position := offset + frameAlignment; position+headerBytes <= len(data); position += frameAlignment {
		if h, ok := parseHeader(data[position:]); ok && h.syncedOffset > uint64(offset) && h.syncedOffset <= uint64(position) {
			return true
		}
	}
	return false
}
