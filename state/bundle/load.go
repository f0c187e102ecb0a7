package bundle

// Load reads all *.json files below a folder, validates the result and returns it in canonical form. The error is of
// type Problems when the content of the files is at fault.
func Load(folder string) (*Bundle, error) { return nil, nil }

// Parse decodes the content of one bundle file. Unknown fields and duplicate keys are rejected.
func Parse(file string, data []byte) (*Bundle, Problems) { return nil, nil }
