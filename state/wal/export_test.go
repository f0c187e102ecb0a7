package wal

// Exported for the tests of the record reader.
var (
	AppendFrame = appendFrame
	ScanFrames  = scanFrames
)
