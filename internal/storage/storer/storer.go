// Package storer is the client side of the platform's transactional table
// service: the Table interface and its HTTP client.
package storer
