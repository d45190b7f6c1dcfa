package cmds

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"cactustide/config"
)

func parseNumber(text string) (float64, error) { return strconv.ParseFloat(text, 64) }

// newClass returns the command that changes a class's fields.
func newClass(c *ctlOptions) command {
	parser := newSubcommand("class", "changes fields of a class: tier, target, pace, wait, objective, floor, cap, tokens")
	var name string
	var fields []string
	addPositional(parser, &name, 1, "class", "the class")
	parser.StringSlice(&fields, "f", "field", "field=value, such as target=850ms; may be repeated")
	return command{parser: parser, run: c.withSession(func(x *session) int {
		var scratch config.Class
		for _, f := range fields {
			if err := setClassField(&scratch, f); err != nil {
				fmt.Fprintln(x.err, err)
				return ExitUsage
			}
		}
		current, code := x.current()
		if code != ExitOK {
			return code
		}
		if _, ok := current.FindClass(name); !ok {
			fmt.Fprintf(x.err, "class: %q is not a class of the document\n", name)
			return ExitUsage
		}
		return x.change(func(d *config.Document) {
			d.Classes = slices.Clone(d.Classes)
			for i := range d.Classes {
				if d.Classes[i].Name == name {
					setClassFields(&d.Classes[i], fields)
				}
			}
		})
	})}
}

// setClassFields sets fields that setClassField has already validated.
func setClassFields(c *config.Class, fields []string) {
	for _, f := range fields {
		_ = setClassField(c, f)
	}
}

func setClassField(c *config.Class, field string) error {
	name, value, _ := strings.Cut(field, "=")
	var err error
	switch name {
	case "tier":
		c.Tier, err = strconv.Atoi(value)
	case "tokens":
		c.Tokens, err = strconv.Atoi(value)
	case "target":
		c.Target, err = time.ParseDuration(value)
	case "pace":
		c.Pace, err = time.ParseDuration(value)
	case "wait":
		c.Wait, err = time.ParseDuration(value)
	case "objective":
		c.Objective, err = parseNumber(value)
	case "floor":
		c.Floor, err = parseNumber(value)
	case "cap":
		c.Cap, err = parseNumber(value)
	default:
		return fmt.Errorf("field: %q is not a field of a class", name)
	}
	if err != nil {
		return fmt.Errorf("%s: %q is not allowed: %w", name, value, err)
	}
	return nil
}
