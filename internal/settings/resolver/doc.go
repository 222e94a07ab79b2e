// Package resolver holds the settings tree and resolves its inheritance: firm,
// place, failure domain, service. Each level overrides only what differs.
package resolver
