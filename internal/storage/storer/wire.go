package storer

// The paths of the table service.
const (
	PathRead  = "/v1/read"
	PathScan  = "/v1/scan"
	PathWrite = "/v1/write"
)

// The limits of the table service. docs/platform.md states them.
const (
	MaxPutsPerWrite = 512
	MaxKeysPerRead  = 1024
	MaxKeyBytes     = 512
	MaxValueBytes   = 4 << 20
	MaxBodyBytes    = 16 << 20
)

// ReadRequest is the body of a read.
type ReadRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest is the body of a scan.
type ScanRequest struct {
	Prefix string `json:"prefix"`
}

// RowsReply answers a read or a scan.
type RowsReply struct {
	Rows []Row `json:"rows"`
}

// WriteRequest is the body of a write.
type WriteRequest struct {
	Puts   []Put `json:"puts"`
	Atomic bool  `json:"atomic"`
}

// WriteReply answers a write, with one result per Put in the same order.
type WriteReply struct {
	Results []PutResult `json:"results"`
}

// ErrorReply is the body of every answer other than 200.
type ErrorReply struct {
	Error string `json:"error"`
}
