package edge

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/hyssophoist/hyssophoist/api/adminapi"
	"github.com/hyssophoist/hyssophoist/api/edgeapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/internal/gateway"
)

const (
	// maxParameterBytes bounds each parameter of an explanation. Paths of requests are the longest ones.
	maxParameterBytes = 8 << 10
	// maxExplainedTokens bounds the size of a generation to explain, far above the longest contexts of models.
	maxExplainedTokens = 1 << 24
)

var routeParameters = []string{
	edgeapi.HostParameter, edgeapi.PathParameter, edgeapi.RouteParameter, edgeapi.ServiceParameter, edgeapi.AccountParameter,
	edgeapi.PromptTokensParameter, edgeapi.AnswerTokensParameter,
}

// serveRouteExplanation answers where a request would go now, see edgeapi.RoutePath. It does not log the parameters: an
// operator may have given an API key in place of an account.
func (d *Daemon) serveRouteExplanation(w http.ResponseWriter, r *http.Request) {
	query, err := parseRouteQuery(r.URL.RawQuery)
	if err != nil {
		writeExplanationError(w, err)
		return
	}
	explanation, err := d.gateway.ExplainRoute(query)
	if err != nil {
		writeExplanationError(w, err)
		return
	}
	explanation.Daemon = d.settings.Daemon
	writeExplanation(w, http.StatusOK, explanation)
}

// parseRouteQuery decodes the parameters of an explanation. Its errors have the kind BadRequest.
func parseRouteQuery(raw string) (query gateway.RouteQuery, err error) {
	values, err := url.ParseQuery(raw)
	if err != nil {
		return query, errkind.New(errkind.BadRequest, "the query cannot be parsed")
	}
	for name, given := range values {
		switch {
		case !slices.Contains(routeParameters, name):
			return query, errkind.New(errkind.BadRequest, "unknown parameter; the parameters are %s", strings.Join(routeParameters, ", "))
		case len(given) > 1:
			return query, errkind.New(errkind.BadRequest, "parameter %s is given more than once", name)
		case len(given[0]) > maxParameterBytes:
			return query, errkind.New(errkind.BadRequest, "parameter %s is longer than %d bytes", name, maxParameterBytes)
		}
	}
	query = gateway.RouteQuery{
		Route: values.Get(edgeapi.RouteParameter), Host: values.Get(edgeapi.HostParameter),
		Path: values.Get(edgeapi.PathParameter), Service: entity.ServiceID(values.Get(edgeapi.ServiceParameter)),
		Account: entity.AccountID(values.Get(edgeapi.AccountParameter)),
	}
	byName, byPath := query.Route != "", query.Host != "" && strings.HasPrefix(query.Path, "/")
	if byName == byPath || byName && (query.Host != "" || query.Path != "") {
		return query, errkind.New(errkind.BadRequest, "give either a route, or a host and a path that begins with a slash")
	}
	if query.PromptTokens, err = parseTokens(values, edgeapi.PromptTokensParameter); err != nil {
		return query, err
	}
	query.AnswerTokens, err = parseTokens(values, edgeapi.AnswerTokensParameter)
	return query, err
}

func parseTokens(values url.Values, name string) (int, error) {
	text := values.Get(name)
	if text == "" {
		return 0, nil
	}
	tokens, err := strconv.Atoi(text)
	if err != nil || tokens < 0 || tokens > maxExplainedTokens {
		return 0, errkind.New(errkind.BadRequest, "parameter %s is not a number from 0 to %d", name, maxExplainedTokens)
	}
	return tokens, nil
}

func writeExplanationError(w http.ResponseWriter, err error) {
	kind := errkind.Of(err)
	writeExplanation(w, errkind.ResponseFor(kind).Status, adminapi.ErrorBody{Error: adminapi.Error{
		Kind: string(kind), Message: errkind.MessageOf(err), Run: string(errkind.RunOf(err)),
	}})
}

func writeExplanation(w http.ResponseWriter, status int, body any) {
	content, err := json.Marshal(body)
	if err != nil {
		log.Errorf("failed to encode the explanation of a route: %v", err)
		http.Error(w, "cannot encode the explanation", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(content); err != nil {
		log.Debugf("failed to write the explanation of a route: %v", err)
	}
}
