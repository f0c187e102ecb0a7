package wal

// Exported for FuzzRecordReader.
var (
	AppendFrame = appendFrame
	ScanFrames  = scanFrames
)
