package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
)

// Size of the target deployment and its resource limits.
const (
	entryCount      = 1800.0
	agentCount      = 10000.0
	peakRequestRate = 67000.0
	peakTokenRate   = 26e6
	teamCount       = 970.0
	changesPerDay   = 50000.0
	restartsPerDay  = 2400.0
	failuresPerDay  = 100.0
	secondsPerDay   = 86400.0

	maxControlCPU      = 0.017    // Cores.
	maxControlMemory   = 32 << 20 // Bytes.
	maxControlByteRate = 3 << 10  // Bytes per second.
	maxReadRate        = 2000.0   // Per second, at the platform's store.
	maxWriteRate       = 400.0    // Per second; the requirement is several hundred.
	maxChangeSeconds   = 3.0
)

// Settings of a process in the target deployment.
const (
	agentsPerEntry     = 64.0 // limits.agents, over all models.
	syncSeconds        = 5.0  // limits.sync.
	currentSyncSeconds = 0.5
	hostPollSeconds    = 2.0
	watchSeconds       = 4.0
	usageWriteSeconds  = 5.0
	queuedAtPeak       = 20.0 // Requests in an agent's queue.
)

const (
	tableBegin = "<!-- table: make capacity -->"
	tableEnd   = "<!-- end of table -->"
)

var errPageOutdated = errors.New("docs/CAPACITY.md and the measurement files disagree; run make capacity")

// row is one line of the table; location is the code that causes the cost, and a limit of
// 0 means none.
type row struct {
	role, quantity, arithmetic string
	value                      float64
	format                     string
	limit                      float64
	location                   string
}

// newCapacity returns the command that recomputes the tables of docs/CAPACITY.md.
func newCapacity() command {
	parser := newSubcommand("capacity", "recomputes the table of docs/CAPACITY.md")
	in := "docs/measured/slopes.json"
	page := "docs/CAPACITY.md"
	check := false
	parser.String(&in, "i", "in", "measurement file")
	parser.String(&page, "p", "page", "page to update")
	parser.Bool(&check, "c", "check", "fail if the page has another table")
	return command{parser: parser, run: func() error {
		m, err := readMeasurements(in)
		if err != nil {
			return err
		}
		text, err := os.ReadFile(page)
		if err != nil {
			return err
		}
		begin := strings.Index(string(text), tableBegin)
		end := strings.Index(string(text), tableEnd)
		if begin < 0 || end < begin {
			return errPageOutdated
		}
		updated := string(text[:begin]) + tableBegin + "\n" + renderTables(m) + string(text[end:])
		if check && updated != string(text) {
			return errPageOutdated
		}
		return os.WriteFile(page, []byte(updated), 0o644)
	}}
}

func renderTables(m *Measurements) string {
	var b strings.Builder
	b.WriteString("\n### Measured slopes\n\n| slope | value | sizes measured | largest residual |\n|---|---|---|---|\n")
	for _, s := range m.Series {
		var sizes []string
		for _, p := range s.Points {
			sizes = append(sizes, fmt.Sprintf("%g", p.Size))
		}
		fmt.Fprintf(&b, "| %s | %.4g %s (base %.4g) | %s | %.0f%% |\n", s.Name, s.Slope, s.Unit, s.Intercept, strings.Join(sizes, ", "), 100*s.MaxResidual)
	}
	b.WriteString("\n### At the target size\n\n| role | quantity | arithmetic | result | allowed | met | code |\n|---|---|---|---|---|---|---|\n")
	for _, r := range capacityRows(m) {
		holds, limit := "", "–"
		if r.limit > 0 {
			limit = fmt.Sprintf(r.format, r.limit)
			holds = "yes"
			if r.value > r.limit {
				holds = "**no**"
			}
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s |\n", r.role, r.quantity, r.arithmetic, fmt.Sprintf(r.format, r.value), limit, holds, r.location)
	}
	b.WriteString("\n")
	return b.String()
}

func capacityRows(m *Measurements) []row {
	out := entryRows(m)
	out = append(out, agentRows(m)...)
	out = append(out, platformRows(m)...)
	return append(out, clientRows(m)...)
}

func entryRows(m *Measurements) []row {
	cpu := m.find("idle entry cpu per known agent")
	memory := m.find("entry memory per known agent")
	team := m.find("entry memory per team")
	syncBytes := m.find("control bytes per sync")
	document := m.find("document bytes per team")
	perSync := cpu.Slope * currentSyncSeconds
	changes := changesPerDay / secondsPerDay
	documentBytes := document.Intercept + document.Slope*teamCount
	return []row{
		{"entry", "requests at the peak", "67,000 / 1,800", peakRequestRate / entryCount, "%.1f/s", 0, "entry/dispatch.go dispatch"},
		{"entry", "tokens at the peak", "26 M / 1,800", peakTokenRate / entryCount, "%.0f/s", 0, "entry/handle.go copyStream"},
		{
			"entry", "data path processor time", fmt.Sprintf("%.1f/s × %.3g s + %.0f/s × %.3g s", peakRequestRate/entryCount, m.find("entry cpu per request").Slope, peakTokenRate/entryCount, m.find("entry cpu per token").Slope),
			peakRequestRate/entryCount*m.find("entry cpu per request").Slope + peakTokenRate/entryCount*m.find("entry cpu per token").Slope, "%.2f core", 0, "not control",
		},
		{
			"entry", "control processor time, sync every 5 s", fmt.Sprintf("%.0f agents × %.3g s / %.0f s + base %.3g", agentsPerEntry, perSync, syncSeconds, cpu.Intercept),
			agentsPerEntry*perSync/syncSeconds + max(0, cpu.Intercept), "%.4f core", maxControlCPU, "entry/conns.go syncAgent",
		},
		{
			"entry", "the same, sync every 0.5 s as today", fmt.Sprintf("%.0f agents × %.3g s / %.1f s + base %.3g", agentsPerEntry, perSync, currentSyncSeconds, cpu.Intercept),
			agentsPerEntry*perSync/currentSyncSeconds + max(0, cpu.Intercept), "%.4f core", maxControlCPU, "entry/conns.go syncAgent",
		},
		{
			"entry", "control memory", fmt.Sprintf("base %.1f MB + %.0f × %.0f kB + 970 teams × %.1f kB", memory.Intercept/(1<<20), agentsPerEntry, memory.Slope/1024, team.Slope/1024),
			(memory.Intercept + agentsPerEntry*memory.Slope + teamCount*team.Slope) / (1 << 20), "%.1f MB", maxControlMemory >> 20, "route/table.go, entry/index.go",
		},
		{
			"entry", "control bytes, sync every 5 s", fmt.Sprintf("%.0f × %.0f B / %.0f s", agentsPerEntry, syncBytes.Slope, syncSeconds),
			agentsPerEntry * syncBytes.Slope / syncSeconds / 1024, "%.2f KB/s", maxControlByteRate >> 10, "peer/peer.go",
		},
		{
			"entry", "the same, sync every 0.5 s as today", fmt.Sprintf("%.0f × %.0f B / %.1f s", agentsPerEntry, syncBytes.Slope, currentSyncSeconds),
			agentsPerEntry * syncBytes.Slope / currentSyncSeconds / 1024, "%.2f KB/s", maxControlByteRate >> 10, "peer/peer.go; breaks above 10 known agents",
		},
		{
			"entry", "configuration to its agents, complete documents as today", fmt.Sprintf("%.2f changes/s × %.0f agents × %.0f B", changes, agentsPerEntry, documentBytes),
			changes * agentsPerEntry * documentBytes / 1024, "%.0f KB/s", maxControlByteRate >> 10, "entry/conns.go syncAll; deltas designed, not built",
		},
		{
			"entry", "the same with deltas of 200 B from one relay to each agent", fmt.Sprintf("%.2f changes/s × %.0f agents × 200 B × 1/%.1f", changes, agentsPerEntry, entryCount*agentsPerEntry/agentCount),
			changes * agentsPerEntry * 200 / (entryCount * agentsPerEntry / agentCount) / 1024, "%.2f KB/s", maxControlByteRate >> 10, "designed, not built",
		},
	}
}

func agentRows(m *Measurements) []row {
	cpu := m.find("idle agent cpu by agents")
	memory := m.find("idle agent memory by agents")
	queued := m.find("agent memory per queued request")
	syncBytes := m.find("control bytes per sync")
	entriesPerAgent := entryCount * agentsPerEntry / agentCount
	// The idle agent was measured with two entries and two syncs per second.
	perSync := m.find("idle entry cpu per known agent").Slope * currentSyncSeconds
	base := max(0, cpu.Intercept-2/currentSyncSeconds*perSync)
	return []row{
		{"agent", "entries connected to it", "1,800 × 64 / 10,000", entriesPerAgent, "%.1f", 0, "route/subset.go Subset"},
		{
			"agent", "data path processor time", fmt.Sprintf("%.1f/s × %.3g s + %.0f/s × %.3g s", peakRequestRate/agentCount, m.find("agent cpu per request").Slope, peakTokenRate/agentCount, m.find("agent cpu per token").Slope),
			peakRequestRate/agentCount*m.find("agent cpu per request").Slope + peakTokenRate/agentCount*m.find("agent cpu per token").Slope, "%.2f core", 0, "not control",
		},
		{
			"agent", "control processor time", fmt.Sprintf("base %.4f + %.1f entries × %.3g s / %.0f s", base, entriesPerAgent, perSync, syncSeconds),
			base + entriesPerAgent*perSync/syncSeconds, "%.4f core", maxControlCPU, "agent/agent.go sync",
		},
		{
			"agent", "control memory", fmt.Sprintf("base %.1f MB + %.0f queued × %.0f kB + document", memory.Intercept/(1<<20), queuedAtPeak, queued.Slope/1024),
			(memory.Intercept + queuedAtPeak*queued.Slope + 2*teamCount*m.find("document bytes per team").Slope) / (1 << 20), "%.1f MB", maxControlMemory >> 20, "agent/queue.go, sched/",
		},
		{
			"agent", "control bytes", fmt.Sprintf("%.1f × %.0f B / %.0f s", entriesPerAgent, syncBytes.Slope, syncSeconds),
			entriesPerAgent * syncBytes.Slope / syncSeconds / 1024, "%.2f KB/s", maxControlByteRate >> 10, "peer/peer.go",
		},
	}
}

func platformRows(m *Measurements) []row {
	changes := changesPerDay / secondsPerDay
	calls := m.find("platform calls per claim")
	// Half of a claim's calls are writes.
	return []row{
		{
			"platform", "reads: every entry watches, as today", fmt.Sprintf("1,800 × (1/%.0f s + %.2f changes/s + 1/%.0f s hosts)", watchSeconds, changes, hostPollSeconds),
			entryCount * (1/watchSeconds + changes + 1/hostPollSeconds), "%.0f/s", maxReadRate, "entry/entry.go watchDocument, entry/conns.go watchHosts",
		},
		{
			"platform", "the same with three watching entries in each of 16 data centres", fmt.Sprintf("48 × (1/%.0f s + %.2f changes/s + 1/%.0f s)", watchSeconds, changes, hostPollSeconds),
			48 * (1/watchSeconds + changes + 1/hostPollSeconds), "%.0f/s", maxReadRate, "designed, not built; the relay through agents is built (entry/conns.go syncAgent)",
		},
		{
			"platform", "writes: entries' usage every 5 s, as today", fmt.Sprintf("1,800 / %.0f s", usageWriteSeconds),
			entryCount / usageWriteSeconds, "%.0f/s", maxWriteRate, "entry/entry.go writeUsage",
		},
		{
			"platform", "writes: agents' usage every 5 s, as today", fmt.Sprintf("10,000 / %.0f s", usageWriteSeconds),
			agentCount / usageWriteSeconds, "%.0f/s", maxWriteRate, "agent/agent.go writeUsage; counts on syncs designed, not built",
		},
		{
			"platform", "writes: changes, restarts and failures", fmt.Sprintf("%.2f + (2,400 + 100) / day", changes),
			changes + (restartsPerDay+failuresPerDay)/secondsPerDay, "%.2f/s", maxWriteRate, "config/change.go Change, agent/claims.go acquireIncarnation",
		},
		{
			"platform", "actions each second that fit beside usage every 60 s", fmt.Sprintf("(400 − 1,800/60 − 1) writes / (%.0f calls / 2)", calls.Slope),
			(maxWriteRate - entryCount/60 - 1) / (calls.Slope / 2), "%.0f/s", 0, "claim/claim.go Take, Finish; group commit designed, not built",
		},
	}
}

func clientRows(m *Measurements) []row {
	change := m.find("worst time of a change to all by agents")
	return []row{
		{
			"client", "calls of a change", "1 read + 1 write (+ 3 reads after a lost reply)", 2, "%.0f", 0, "config/change.go Change",
		},
		{
			"client", "worst time of a change to every agent of one entry", fmt.Sprintf("%.4f s + %.0f agents × %.3g s", change.Intercept, agentsPerEntry, change.Slope),
			change.Intercept + agentsPerEntry*change.Slope, "%.3f s", maxChangeSeconds, "entry/entry.go applyDocument, entry/conns.go syncAll",
		},
	}
}
