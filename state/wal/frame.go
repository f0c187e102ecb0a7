package wal

import (
	"encoding/binary"
	"hash/crc32"
	"math/bits"

	"github.com/cockroachdb/errors"
)

// A frame consists of a 24-byte header, the body, zero padding and the CRC-32C of body and padding. The size of a frame
// is a multiple of 8 bytes and it starts at a multiple of 8, so that a sector boundary never splits a header or
// checksum into parts of less than 8 bytes.
//
//	offset 0  magic number
//	offset 4  length of the body
//	offset 8  bitwise complement of the offset up to which the file was synced before this frame was written
//	offset 16 flags
//	offset 20 CRC-32C of the header's first 20 bytes
//
// All numbers are little-endian.
const (
	headerBytes    = 24
	trailerBytes   = 4
	frameAlignment = 8
	frameMagic     = 0x53475731 // "SGW1"
	// sectorBytes is the unit in which disks write. A crash can leave sectors of an unsynced write as zeros.
	sectorBytes = 512
	// flagSparseSector marks a frame in which the part in some sector has at most one set bit. In such a frame, a sector
	// of zeros does not prove a torn write: it can be intact, or one flipped bit can have cleared it.
	flagSparseSector = 1
	// maxBodyBytes bounds the body of a frame in a segment. One entry of raft.MaxEntryBytes fits into it.
	maxBodyBytes = 32 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frameBytes returns the size of a frame with a body of the given length.
func frameBytes(body int) int {
	return (headerBytes + body + trailerBytes + frameAlignment - 1) / frameAlignment * frameAlignment
}

// appendFrame appends a frame to a batch that will be written at offset batchOffset of a file, up to which the file is
// synced.
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

// fewestSectorBits splits data[from:] at the sector boundaries of the file, in which data starts at offset, and returns
// the number of set bits in the part that has the fewest.
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

// scanFrames calls visit with the body of each frame and returns the size of the intact part. The scan ends at a
// damaged frame. If the frame must be part of an unsynced write that a crash has torn, and tornAllowed is set, the scan
// succeeds. Otherwise the damage may be in an acknowledged record, and ErrCorrupt is returned.
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

// isTorn reports whether the damage to the frame at offset is that of a torn write: missing bytes or a sector of zeros.
// A flipped bit causes neither.
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
