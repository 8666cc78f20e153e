package classify

// maxDepth bounds the estimated depth of a text that is given to the grammar. The parser's stack overflows at about
// 2,000 to 6,000 levels (measured for nested subqueries, sums, casts, NOT and joins) and the parser cannot be used
// after that, so the bound keeps a factor of two.
const maxDepth = 1000

// level estimates the depth of the parse tree inside one pair of parentheses or one CASE.
type level struct {
	// operators counts words and operators since the last separator; child is the deepest group among them.
	operators, child int
	// done is the deepest finished element of a list; chain counts set operations and joins.
	done, chain int
	// inCase is true for a CASE, which END closes.
	inCase bool
	// between is true until the AND of a BETWEEN.
	between bool
}

// total returns the estimate for the whole level.
func (l *level) total() int { return l.chain + max(l.done, l.operators+l.child) + 1 }

// separate notes the end of a list element.
func (l *level) separate() {
	l.done = max(l.done, l.operators+l.child)
	l.operators = 0
	l.child = 0
}

// depth estimates from above how deep the parse tree of a text is. Commas, AND and OR build flat lists; all other
// words and operators are counted as if each added a level.
type depth struct {
	outer   []level
	here    level
	deepest int
}

func (d depth) reset() depth { return depth{outer: d.outer[:0]} }

func (d *depth) word(class wordClass) {
	switch class {
	case wordCase:
		d.open(true)
	case wordEnd:
		if d.here.inCase {
			d.close()
		}
	case wordBranch:
		if d.here.inCase {
			d.here.separate()
			return
		}
		d.here.operators++
	case wordChain:
		d.here.chain++
	case wordBetween:
		d.here.between = true
		d.here.operators++
	case wordAnd, wordOr:
		d.boolean(class)
	default:
		d.here.operators++
	}
}

func (d *depth) boolean(class wordClass) {
	if class == wordAnd && d.here.between {
		d.here.between = false
		d.here.operators++
		return
	}
	d.here.separate()
}

func (d *depth) punctuation(c byte) {
	switch c {
	case '(', '[':
		d.open(false)
	case ')', ']':
		for d.here.inCase && len(d.outer) > 0 {
			d.close()
		}
		d.close()
	case ',':
		d.here.separate()
	case '.':
	default:
		d.here.operators++
	}
}

func (d *depth) open(inCase bool) {
	d.outer = append(d.outer, d.here)
	d.here = level{inCase: inCase}
}

func (d *depth) close() {
	if len(d.outer) == 0 {
		return
	}
	total := d.here.total()
	d.here = d.outer[len(d.outer)-1]
	d.outer = d.outer[:len(d.outer)-1]
	d.here.child = max(d.here.child, total)
}

func (d *depth) semicolon() {
	if len(d.outer) > 0 {
		return
	}
	d.deepest = max(d.deepest, d.here.total())
	d.here = level{}
}

// estimate closes all levels and returns the estimate for the deepest statement.
func (d *depth) estimate() int {
	for len(d.outer) > 0 {
		d.close()
	}
	return max(d.deepest, d.here.total())
}
