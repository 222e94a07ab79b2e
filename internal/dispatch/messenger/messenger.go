// Package messenger defines the identifiers and messages that burdockrudder's
// processes exchange, and their CBOR encoding.
//
// The package holds plain data only. It is shared by the decision packages and
// by the transport, and imports neither.
package messenger
