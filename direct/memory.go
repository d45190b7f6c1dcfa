package direct

// memoryUse is the memory that something in an entry uses, and its bound, bytes.
type memoryUse struct {
	owner       string
	used, bound int64
}

// memoryUses returns what grows with requests and changes.
func (e *Entry) memoryUses() []memoryUse {
	return []memoryUse{
		{owner: "bodies", used: e.bodyMemory.used.Load(), bound: e.bodyMemory.limit},
	}
}

// updateMemoryUses updates the metrics of memory by owner.
func (e *Entry) updateMemoryUses() {
	for _, m := range e.memoryUses() {
		tagged := e.scope.Tagged(map[string]string{"owner": m.owner})
		tagged.Gauge("memory_used").Update(float64(m.used))
		tagged.Gauge("memory_bound").Update(float64(m.bound))
	}
}
