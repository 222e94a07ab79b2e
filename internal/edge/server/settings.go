package server

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

const (
	defaultHistoryLimit = 100
	maxHistoryLimit     = 1000
)

func (s *Server) getSettings(w http.ResponseWriter, r *request) error {
	head, err := s.Settings.Head(r.Context())
	if err != nil {
		return s.settingsError(err)
	}
	w.Header().Set("ETag", etag(head.Version))
	s.writeJSON(w, http.StatusOK, translator.Settings{Version: head.Version, Tree: r.identity.visible(head.Tree)})
	return nil
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

// visible returns the part of the tree that the identity may see.
func (i identity) visible(tree resolver.Tree) resolver.Tree {
	if i.root {
		return tree
	}
	reduced := resolver.Tree{Firms: map[string]resolver.Firm{}}
	if firm, ok := tree.Firms[i.firm]; ok {
		reduced.Firms[i.firm] = firm
	}
	return reduced
}

func (s *Server) putSettings(w http.ResponseWriter, r *request) error {
	expected, err := expectedVersion(r)
	if err != nil {
		return err
	}
	reason := r.Header.Get(translator.ReasonHeader)
	if !translator.ValidReason(reason) {
		return newError(translator.CodeBadRequest, "the header "+translator.ReasonHeader+" must give a reason of at most 1024 bytes")
	}
	body, err := s.readSettings(w, r)
	if err != nil {
		return err
	}
	tree, findings := s.Settings.Parse(body)
	if len(findings) > 0 {
		return &translator.Error{Code: translator.CodeInvalidSettings, Reason: "the settings have faults", Findings: findings}
	}
	tree, err = s.merge(r, expected, tree)
	if err != nil {
		return err
	}
	change := SettingsChange{Expected: expected, Tree: tree, Author: r.identity.author(), Reason: reason}
	version, err := s.Settings.Change(r.Context(), change)
	if err != nil {
		return s.settingsError(err)
	}
	w.Header().Set("ETag", etag(version))
	s.writeJSON(w, http.StatusOK, translator.Settings{Version: version, Tree: r.identity.visible(tree)})
	return nil
}

func expectedVersion(r *request) (uint64, error) {
	text := r.Header.Get("If-Match")
	if text == "" {
		return 0, newError(translator.CodeVersionRequired, "the header If-Match must carry the version that the change replaces")
	}
	version, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	if err != nil {
		return 0, newError(translator.CodeBadRequest, "the header If-Match must be a settings version")
	}
	return version, nil
}

// merge returns the whole tree for a change. A firm operator's change contains only the
// operator's own firm; merge takes the other firms from the current tree. The
// compare-and-set on the version ensures that those have not changed in the meantime.
func (s *Server) merge(r *request, expected uint64, tree resolver.Tree) (resolver.Tree, error) {
	if r.identity.root {
		return tree, nil
	}
	own, ok := tree.Firms[r.identity.firm]
	if !ok || len(tree.Firms) != 1 {
		return tree, newError(translator.CodeForbidden, "the key may change its own firm only, and not remove it")
	}
	head, err := s.Settings.Head(r.Context())
	if err != nil {
		return tree, s.settingsError(err)
	}
	if head.Version != expected {
		return tree, s.settingsError(&ConflictError{Present: head.Version})
	}
	merged := maps.Clone(head.Tree.Firms)
	if merged == nil {
		return tree, notFound()
	}
	merged[r.identity.firm] = own
	return resolver.Tree{Firms: merged}, nil
}

// settingsError translates an error of the settings store into an API error.
func (s *Server) settingsError(err error) error {
	var conflict *ConflictError
	var refused *NotAcceptingError
	switch {
	case errors.As(err, &refused):
		return newError(translator.Code(messenger.CodeNotRun), refused.Error())
	case errors.As(err, &conflict):
		reason := fmt.Sprintf("the settings are at version %d; read them and apply the change again", conflict.Present)
		return &translator.Error{Code: translator.CodeVersionConflict, Reason: reason, Version: conflict.Present}
	case errors.Is(err, ErrNoVersion):
		return newError(translator.CodeNotFound, ErrNoVersion.Error())
	default:
		s.Logger.Warn("request to the settings store failed, responding with unavailable: " + err.Error())
		return newError(translator.CodeUnavailable, "the settings store gave no answer; a change may have been committed")
	}
}

func (s *Server) validateSettings(w http.ResponseWriter, r *request) error {
	body, err := s.readSettings(w, r)
	if err != nil {
		return err
	}
	_, findings := s.Settings.Parse(body)
	s.writeJSON(w, http.StatusOK, translator.Findings{Findings: append([]translator.Finding{}, findings...)})
	return nil
}

func (s *Server) settingsHistory(w http.ResponseWriter, r *request) error {
	limit := defaultHistoryLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		parsed, err := strconv.Atoi(text)
		if err != nil || parsed < 1 || parsed > maxHistoryLimit {
			return &translator.Error{Code: translator.CodeBadRequest, Field: "limit", Reason: "must be 1 to 1000"}
		}
		limit = parsed
	}
	records, err := s.Settings.History(r.Context(), limit)
	if err != nil {
		return s.settingsError(err)
	}
	history := translator.History{Changes: []translator.SettingsChange{}}
	for _, record := range records {
		history.Changes = append(history.Changes, r.identity.describe(record))
	}
	s.writeJSON(w, http.StatusOK, history)
	return nil
}

func (s *Server) settingsVersion(w http.ResponseWriter, r *request) error {
	version, err := strconv.ParseUint(r.PathValue("version"), 10, 64)
	if err != nil {
		return notFound()
	}
	record, err := s.Settings.Get(r.Context(), version)
	if err != nil {
		return s.settingsError(err)
	}
	change := r.identity.describe(record)
	tree := r.identity.visible(record.Tree)
	change.Tree = &tree
	s.writeJSON(w, http.StatusOK, change)
	return nil
}

// describe returns the change as the identity may see it. It omits the author and reason
// of changes by root or other firms, because the reason may concern another firm.
func (i identity) describe(record SettingsRecord) translator.SettingsChange {
	change := translator.SettingsChange{Version: record.Version, Time: record.Time}
	if i.root || strings.HasPrefix(record.Author, i.firm+"/") {
		change.Author, change.Reason = record.Author, record.Reason
	}
	return change
}
