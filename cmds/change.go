package cmds

import (
	"fmt"
	"slices"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"cactustide/config"
	"cactustide/wire"
)

// newChangeCommands returns the commands that show and change the configuration
// document.
func newChangeCommands(c *ctlOptions) []command {
	return []command{
		newApply(c), newShow(c), newDiff(c), newPresets(c), newPreset(c),
		newShare(c), newClass(c), newDrain(c, "drain", true), newDrain(c, "undrain", false),
	}
}

func addPositional(s *flaggy.Subcommand, value *string, position int, name, description string) {
	s.AddPositionalValue(value, name, position, true, description)
}

func newApply(c *ctlOptions) command {
	parser := newSubcommand("apply", "puts a configuration document in force")
	var file string
	addPositional(parser, &file, 1, "file", "the document")
	return command{parser: parser, run: c.withSession(func(x *session) int {
		d, code := loadDocument(x.streams, file)
		if code != ExitOK {
			return code
		}
		return x.change(func(current *config.Document) {
			generation := current.Generation
			*current = *d
			current.Generation = generation
		})
	})}
}

func newShow(c *ctlOptions) command {
	parser := newSubcommand("show", "prints the document in force as YAML")
	return command{parser: parser, run: c.withSession(func(x *session) int {
		d, code := x.current()
		if code != ExitOK {
			return code
		}
		if x.options.asJSON {
			return x.print(d, "", func(*tabwriter.Writer) {})
		}
		text, err := wire.FormatDocument(d)
		if err != nil {
			return x.fail(err, ExitFailed)
		}
		fmt.Fprint(x.out, string(text))
		return ExitOK
	})}
}

func newDiff(c *ctlOptions) command {
	parser := newSubcommand("diff", "prints what apply would change")
	var file string
	addPositional(parser, &file, 1, "file", "the document")
	return command{parser: parser, run: c.withSession(func(x *session) int {
		d, code := loadDocument(x.streams, file)
		if code != ExitOK {
			return code
		}
		current, code := x.current()
		if code != ExitOK {
			return code
		}
		d.Generation, d.Change, d.Author = current.Generation, current.Change, current.Author
		return x.printDiff(current, d)
	})}
}

// printDiff prints the lines that differ between the YAML of two documents.
func (x *session) printDiff(from, to *config.Document) int {
	before, err := wire.FormatDocument(from)
	if err != nil {
		return x.fail(err, ExitFailed)
	}
	after, err := wire.FormatDocument(to)
	if err != nil {
		return x.fail(err, ExitFailed)
	}
	for _, line := range diffLines(splitLines(before), splitLines(after)) {
		fmt.Fprintln(x.out, line)
	}
	return ExitOK
}

func newPresets(c *ctlOptions) command {
	parser := newSubcommand("presets", "lists the presets")
	return command{parser: parser, run: c.withSession(func(x *session) int {
		d, code := x.current()
		if code != ExitOK {
			return code
		}
		return x.print(d.Presets, "PRESET\tIN FORCE\tSHARES\tTUNES", func(w *tabwriter.Writer) {
			for _, p := range d.Presets {
				fmt.Fprintf(w, "%s\t%v\t%d\t%d\n", p.Name, p.Name == d.Preset, len(p.Shares), len(p.Tunes))
			}
		})
	})}
}

func newPreset(c *ctlOptions) command {
	parser := newSubcommand("preset", "switches to a preset")
	var name string
	addPositional(parser, &name, 1, "name", "the preset")
	return command{parser: parser, run: c.withSession(func(x *session) int {
		return x.change(func(d *config.Document) { d.Preset = name })
	})}
}

func newShare(c *ctlOptions) command {
	parser := newSubcommand("share", "sets a partner's share; in the preset in force if that preset overrides it")
	var name string
	var value string
	addPositional(parser, &name, 1, "partner", "the partner")
	addPositional(parser, &value, 2, "share", "the share, above zero")
	return command{parser: parser, run: c.withSession(func(x *session) int {
		share, err := parseNumber(value)
		if err != nil {
			fmt.Fprintf(x.err, "share: %q is not a number\n", value)
			return ExitUsage
		}
		current, code := x.current()
		if code != ExitOK {
			return code
		}
		if !slices.ContainsFunc(current.Partners, func(p config.Partner) bool { return p.Name == name }) {
			fmt.Fprintf(x.err, "partner: %q is not a partner of the document\n", name)
			return ExitUsage
		}
		return x.change(func(d *config.Document) { setShare(d, name, share) })
	})}
}

// setShare sets a partner's share in the preset in force if that overrides it,
// otherwise in the partner itself.
func setShare(d *config.Document, partner string, share float64) {
	if setPresetShare(d, partner, share) {
		return
	}
	d.Partners = slices.Clone(d.Partners)
	for i := range d.Partners {
		if d.Partners[i].Name == partner {
			d.Partners[i].Share = share
		}
	}
}

// setPresetShare sets the share in the preset in force if that overrides it, and
// reports whether it did.
func setPresetShare(d *config.Document, partner string, share float64) bool {
	d.Presets = slices.Clone(d.Presets)
	for i := range d.Presets {
		if d.Presets[i].Name != d.Preset {
			continue
		}
		shares := slices.Clone(d.Presets[i].Shares)
		d.Presets[i].Shares = shares
		for j := range shares {
			if shares[j].Partner == partner {
				shares[j].Share = share
				return true
			}
		}
	}
	return false
}

func newDrain(c *ctlOptions, verb string, drain bool) command {
	parser := newSubcommand(verb, verb+"s an upstream")
	var name string
	addPositional(parser, &name, 1, "upstream", "the upstream's name")
	return command{parser: parser, run: c.withSession(func(x *session) int {
		return x.change(func(d *config.Document) {
			d.Drains = slices.DeleteFunc(slices.Clone(d.Drains), func(s string) bool { return s == name })
			if drain {
				d.Drains = append(d.Drains, name)
			}
		})
	})}
}
