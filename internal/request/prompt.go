package request

// PrefixPart is a part of a prompt with all parts before it. Targets cache prompts by such
// prefixes.
type PrefixPart struct {
	Digest uint64 // of the model and the IDs of this part and all before it
	Tokens int    // of this part and all before it
}
