package server

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
)

// access is the set of keys that may use a route.
type access int

const (
	// accessOpen needs no key.
	accessOpen access = iota
	// accessCaller admits callers, operators and the root key.
	accessCaller
	// accessOperator admits operators and the root key.
	accessOperator
)

// handlerFunc handles one request. If it returns an error, the server responds with the
// error's status and body.
type handlerFunc func(w http.ResponseWriter, r *request) error

// request is an HTTP request with the identity that its API key belongs to.
type request struct {
	*http.Request
	identity identity
}

type route struct {
	pattern string
	access  access
	serve   handlerFunc
}

const (
	servicePath = "/v1/firms/{firm}/services/{service}"
	domainsPath = "/v1/firms/{firm}/places/{place}/failure_domains"
)

func (s *Server) routes() []route {
	routes := []route{
		{"GET /healthz", accessOpen, s.healthz},
		{"GET /readyz", accessOpen, s.readyz},
		{"POST " + servicePath + "/jobs", accessCaller, s.submitJob},
		{"POST " + servicePath + "/requests", accessCaller, s.submitRequest},
		{"GET " + servicePath + "/jobs/{id}", accessCaller, s.queryJob},
		{"DELETE " + servicePath + "/jobs/{id}", accessCaller, s.cancelJob},
		{"POST " + servicePath + "/cancel", accessCaller, s.cancelPrefix},
		{"POST " + servicePath + "/tickets", accessCaller, s.tickets},
		{"GET /v1/settings", accessOperator, s.getSettings},
		{"PUT /v1/settings", accessOperator, s.putSettings},
		{"POST /v1/settings/validate", accessOperator, s.validateSettings},
		{"GET /v1/settings/history", accessOperator, s.settingsHistory},
		{"GET /v1/settings/{version}", accessOperator, s.settingsVersion},
		{"GET " + domainsPath, accessOperator, s.domains},
		{"POST " + domainsPath + "/{domain}/take-out", accessOperator, s.takeOut},
		{"POST " + domainsPath + "/{domain}/bring-back", accessOperator, s.bringBack},
		{"GET /v1/endpoints", accessOperator, s.endpoints},
		{"GET /v1/status", accessOperator, s.status},
	}
	if s.Metrics != nil {
		routes = append(routes, route{"GET /metrics", accessOperator, s.metrics})
	}
	return routes
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	for _, route := range s.routes() {
		mux.Handle(route.pattern, s.wrap(route))
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		unmatched, pattern := mux.Handler(r)
		if pattern == "" {
			s.refuseUnmatched(w, r, unmatched)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// refuseUnmatched responds to requests that match no route: with the status and headers of
// net/http's own 404 or 405 response, but with a JSON body.
func (s *Server) refuseUnmatched(w http.ResponseWriter, r *http.Request, unmatched http.Handler) {
	recorder := &statusRecorder{ResponseWriter: discardBody{w}}
	unmatched.ServeHTTP(recorder, r)
	fault := &translator.Error{Code: translator.CodeNotFound, Reason: "no such path"}
	if recorder.status == http.StatusMethodNotAllowed {
		fault = &translator.Error{Code: translator.CodeMethodNotAllowed, Reason: "the path has no such method"}
	}
	s.writeError(w, fault)
}

// discardBody passes on the headers of a response, such as Allow, and discards its status
// and body.
type discardBody struct{ http.ResponseWriter }

func (discardBody) WriteHeader(int)             {}
func (discardBody) Write(p []byte) (int, error) { return len(p), nil }

// statusRecorder records the response's status for the log and the metrics.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader records and forwards the status.
func (r *statusRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController access to the connection.
func (r *statusRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

func (s *Server) wrap(route route) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began := time.Now()
		recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
		req := &request{Request: r}
		if err := s.authorise(req, route.access); err != nil {
			s.writeError(recorder, err)
		} else if err := route.serve(recorder, req); err != nil {
			s.writeError(recorder, err)
		}
		s.observe(route, req, recorder.status, time.Since(began))
	})
}

// observe logs a request and records its metrics. The headers, the query and the body may
// contain secrets and are never logged.
func (s *Server) observe(route route, r *request, status int, took time.Duration) {
	tags := map[string]string{"route": route.pattern, "status": strconv.Itoa(status)}
	scope := s.Scope.Tagged(tags)
	scope.Counter("http_requests").Inc(1)
	scope.Timer("http_request_time").Record(took)
	s.Logger.Debug("http request",
		zap.String("route", route.pattern),
		zap.Int("status", status),
		zap.Duration("took", took),
		zap.String("author", r.identity.author()),
		zap.String("firm", r.PathValue("firm")),
		zap.String("service", r.PathValue("service")),
		zap.String("id", r.PathValue("id")))
}
