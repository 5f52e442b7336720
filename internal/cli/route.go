package cli

import (
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/hyssophoist/hyssophoist/api/edgeapi"
	"github.com/hyssophoist/hyssophoist/core/dispatch"
	"github.com/hyssophoist/hyssophoist/core/fleet"
)

// reasonTexts explains the reasons that exclude targets.
var reasonTexts = map[fleet.Exclusion]string{
	fleet.ExcludedDraining:       "its entry says that it leaves",
	fleet.ExcludedUnlisted:       "it is no longer listed",
	fleet.ExcludedLeaving:        "it has said in a response that it leaves; last resort",
	fleet.ExcludedDown:           "it does not answer this instance",
	fleet.ExcludedAskedForTime:   "it asked to get no requests for some time",
	fleet.ExcludedRecovering:     "it asked for time before, and one attempt at it is in progress",
	fleet.ExcludedSuspected:      "it has failed requests; last resort",
	dispatch.ExcludedNoLayers:    "it holds no layers",
	dispatch.ExcludedUnknownCard: "the configuration does not have its card",
	dispatch.ExcludedFull:        "it has refused requests for lack of room",
	dispatch.ExcludedCache:       "it has not enough free KV cache",
	dispatch.ExcludedPartly:      "it has free KV cache for a part of its layers only",
}

// shortageTexts explains why there is no path.
var shortageTexts = map[dispatch.Shortage]string{
	dispatch.ShortageAskedForTime: "all engines that can be the first one asked for time",
	dispatch.ShortageFull:         "the engines of a zone cover all layers, but are full or asked for time",
	dispatch.ShortageLayers:       "layers are missing: the engines of no zone cover all of them",
}

func (r *runner) routeCommand() *cobra.Command {
	var daemon, host, path, route, service, account string
	var promptTokens, answerTokens int
	command := &cobra.Command{
		Use:   "route --daemon URL (--route NAME | --host HOST --path PATH)",
		Short: "Show where an edge daemon would send a request now, and why",
		Long: "Asks one edge daemon where it would send a request now, and why, without sending it. The daemon is addressed by the\n" +
			"listener of its metrics (settings, \"metrics\"), and no token is sent to it. A refused generation is not an error of\n" +
			"the command.\n\n" + exitCodeHelp,
		Args: exactArgs(0, ""),
		RunE: func(command *cobra.Command, _ []string) error {
			byName, byPath := route != "", host != "" && path != ""
			if daemon == "" {
				return usageErrorf("no edge daemon: set --daemon to the address of its metrics, such as http://127.0.0.1:9464")
			}
			if byName == byPath || byName && (host != "" || path != "") {
				return usageErrorf("give either --route, or --host and --path")
			}
			if promptTokens < 0 || answerTokens < 0 {
				return usageErrorf("a number of tokens is negative")
			}
			client, err := NewClient(daemon, "", "", r.caFile, r.timeout)
			if err != nil {
				return err
			}
			client.peer = "the edge daemon"
			query := url.Values{}
			for name, value := range map[string]string{
				edgeapi.HostParameter: host, edgeapi.PathParameter: path, edgeapi.RouteParameter: route,
				edgeapi.ServiceParameter: service, edgeapi.AccountParameter: account,
				edgeapi.PromptTokensParameter: strconv.Itoa(promptTokens), edgeapi.AnswerTokensParameter: strconv.Itoa(answerTokens),
			} {
				if value != "" {
					query.Set(name, value)
				}
			}
			var explanation edgeapi.RouteExplanation
			if err := client.get(command.Context(), edgeapi.RoutePath+"?"+query.Encode(), &explanation); err != nil {
				return err
			}
			return r.print(explanation, func() { r.printRoute(&explanation) })
		},
	}
	flags := command.Flags()
	flags.StringVar(&daemon, "daemon", "", "base URL of the metrics listener of the edge daemon")
	flags.StringVar(&host, "host", "", "host of the request")
	flags.StringVar(&path, "path", "", "path of the request")
	flags.StringVar(&route, "route", "", "name of the route, in place of host and path")
	flags.StringVar(&service, "service", "", "service of a route with several; the one of the greatest weight if empty")
	flags.StringVar(&account, "account", "", "name of the client account, not an API key; its priority replaces that of the route")
	flags.IntVar(&promptTokens, "prompt-tokens", 0, "length of the prompt; 0 for the usual one")
	flags.IntVar(&answerTokens, "answer-tokens", 0, "length of the answer; 0 for the usual one")
	return command
}

func (r *runner) printRoute(e *edgeapi.RouteExplanation) {
	r.printf("route %s (%s) to service %s at %s (%s), configuration version %d\n",
		e.Route, e.Kind, orDash(e.Service), e.Daemon, e.Zone, e.ConfigurationVersion)
	for _, share := range e.Services {
		r.printf("service %s has weight %g\n", share.Service, share.Weight)
	}
	r.printf("account %s, priority %d: rank %d of %d, 0 is the most urgent\n", orDash(e.Account), e.Priority, e.Rank, e.Ranks)
	switch {
	case e.SharedLoads.AgeSeconds < 0:
		r.printf("no loads of other instances are known; they are assumed\n")
	case !e.SharedLoads.Valid:
		r.printf("loads of other instances are %.1f s old, too old to be used; they are assumed\n", e.SharedLoads.AgeSeconds)
	default:
		r.printf("loads of other instances are %.1f s old\n", e.SharedLoads.AgeSeconds)
	}
	if e.Generation != nil {
		r.printGeneration(e.Generation)
	}
	if e.Plain != nil {
		r.printPlain(e.Plain)
	}
	if e.Isolated {
		r.printf("the instance reaches none of the targets: it relays requests to one of %d other instances\n", e.RelayPeers)
	}
	if e.ShedShare > 0 {
		r.printf("the service is overloaded: %.0f%% of the requests of this rank are refused at once\n", 100*e.ShedShare)
	}
	refused := "would not be refused now; a refusal"
	if e.Refused {
		refused = "would be refused now; the refusal"
	}
	r.printf("the request %s has kind %s, status %d and Retry-After from %.1f s\n",
		refused, e.Refusal.Kind, e.Refusal.Status, e.Refusal.RetryAfterSeconds)
}

func (r *runner) printGeneration(g *dispatch.GenerationExplanation) {
	r.printf("generation with a prompt of %.0f tokens and an answer of %.0f\n", g.PromptTokens, g.AnswerTokens)
	if g.Path != nil {
		stages := make([]string, len(g.Path.Stages))
		for i, stage := range g.Path.Stages {
			stages[i] = fmt.Sprintf("%s[%d-%d] (%s)", stage.Target, stage.FromLayer, stage.ToLayer, stage.Zone)
		}
		r.printf("path: %s, cost %.3f s\n", strings.Join(stages, " > "), g.Path.CostSeconds)
	} else {
		r.printf("no path: %s\n", textOr(shortageTexts, g.Shortage))
	}
	for _, link := range g.ClosedLinks {
		r.printf("link from %s to %s: this instance's share is used up\n", link.From, link.To)
	}
	rows := r.newTable("ENGINE", "ZONE", "CARD", "LAYERS", "OWN", "OTHERS", "CACHE", "CAPACITY", "FITS", "COST/LAYER", "IN PATH")
	for _, c := range g.Candidates {
		cost, inPath := "-", "-"
		if c.CostPerLayerSeconds > 0 {
			cost = fmt.Sprintf("%.4f s", c.CostPerLayerSeconds)
		}
		if c.InPath {
			inPath = "yes"
		}
		rows.add(string(c.Target), string(c.Zone), orDash(c.Card), fmt.Sprintf("%d-%d", c.FromLayer, c.ToLayer),
			fmt.Sprint(c.InProgressOwn), fmt.Sprintf("%.0f", c.InProgressOthers), fmt.Sprintf("%.0f", c.CacheInUse),
			fmt.Sprintf("%.0f", c.CacheCapacity), fmt.Sprintf("%d layers", c.LayersWithCache), cost, inPath)
	}
	rows.flush()
	if hidden := g.Engines - len(g.Candidates); hidden > 0 {
		r.printf("%d more engines are not shown\n", hidden)
	}
	for _, c := range g.Candidates {
		r.printReason(string(c.Target), c.Reason)
		if c.SuspectedByOthers {
			r.printf("%s: another instance suspects it\n", c.Target)
		}
	}
	for _, reason := range slices.Sorted(maps.Keys(g.Excluded)) {
		r.printf("engines with reason %s: %d of %d\n", reason, g.Excluded[reason], g.Engines)
	}
}

func (r *runner) printPlain(p *dispatch.PlainExplanation) {
	rows := r.newTable("ORDER", "TARGET", "ZONE", "SLOTS", "IN PROGRESS", "LATENCY")
	for _, c := range p.Targets {
		order, latency := "-", "-"
		if c.Order > 0 {
			order = fmt.Sprint(c.Order)
		}
		if c.LatencySeconds > 0 {
			latency = fmt.Sprintf("%.1f ms", 1000*c.LatencySeconds)
		}
		rows.add(order, string(c.Target), string(c.Zone), fmt.Sprint(c.Slots), fmt.Sprint(c.InProgress), latency)
	}
	rows.flush()
	if hidden := p.Total - len(p.Targets); hidden > 0 {
		r.printf("%d more targets are not shown\n", hidden)
	}
	for _, c := range p.Targets {
		r.printReason(string(c.Target), c.Reason)
	}
}

// printReason prints why a target is excluded, if it is.
func (r *runner) printReason(target string, reason fleet.Exclusion) {
	if reason != "" {
		r.printf("%s: %s (%s)\n", target, textOr(reasonTexts, reason), reason)
	}
}

// textOr returns the text for a key, or the key itself if a newer daemon has sent one that this program does not know.
func textOr[K ~string](texts map[K]string, key K) string {
	if text, known := texts[key]; known {
		return text
	}
	return string(key)
}
