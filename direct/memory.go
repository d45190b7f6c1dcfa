package direct

// memoryUse is the memory that something in an entry uses, and its bound, bytes; a bound of
// 0 means that the platform's store bounds it.
type memoryUse struct {
	owner       string
	used, bound int64
}

// memoryUses returns what grows with requests and changes.
func (e *Entry) memoryUses() []memoryUse {
	uses := []memoryUse{
		{owner: "bodies", used: e.bodyMemory.used.Load(), bound: e.bodyMemory.limit},
		{owner: "responses", used: e.responseMemory.used.Load(), bound: e.responseMemory.limit},
	}
	history := memoryUse{owner: "history", bound: int64(len(e.itemCaches)) * maxLogBytes}
	items := memoryUse{owner: "items"}
	for _, c := range e.itemCaches {
		history.used += c.historyBytes()
		items.used += c.itemBytes()
	}
	return append(uses, history, items)
}

// updateMemoryUses updates the metrics of memory by owner.
func (e *Entry) updateMemoryUses() {
	for _, m := range e.memoryUses() {
		tagged := e.scope.Tagged(map[string]string{"owner": m.owner})
		tagged.Gauge("memory_used").Update(float64(m.used))
		tagged.Gauge("memory_bound").Update(float64(m.bound))
	}
}
