// Package messenger defines the identifiers and messages that burdockrudder's
// processes exchange, and their CBOR encoding.
//
// The package contains only data types. The decision packages and the transport use
// it, and it imports neither.
package messenger
