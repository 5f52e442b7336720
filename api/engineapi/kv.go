package engineapi

// KVState is the body of GET and PUT KVPath/{request}: the KV cache of a request at one engine. The emulated engines
// transfer its size instead of its content.
type KVState struct {
	Request string `json:"request"`
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	// From and To are the layers [From, To) of the KV cache.
	From int `json:"from"`
	To   int `json:"to"`
	// Tokens is the number of leading tokens, of prompt and output together, that the KV cache covers.
	Tokens int `json:"tokens"`
	// Source is the engine that the KV cache comes from.
	Source string `json:"source"`
	// Later lists the stages after the engine in the route that computed the KV cache.
	Later []Stage `json:"later,omitempty"`
}
