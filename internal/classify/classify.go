package classify

import (
	"bytes"
	"context"
	"sync/atomic"

	"github.com/go-faster/errors"
	pganalyze "github.com/pganalyze/pg_query_go/v6"
	pgquery "github.com/wasilibs/go-pgquery"

	"github.com/celerystep/celerystep/internal/request"
)

// maxParseBytes bounds the normalised text that is given to the grammar, which takes about 4 microseconds for each
// byte (measured: 120 KB in 0.5 s) and serves one text at a time.
const maxParseBytes = 32 << 10

// errParserFailed reports that the parser stopped inside a text. Its memory cannot be trusted afterwards.
var errParserFailed = errors.New("parser failed")

// Classifier describes statement texts. It is safe for concurrent use.
type Classifier struct {
	cache *cache
	// parser holds one token: the WebAssembly parser takes about 60 MB for each instance, so there is only one.
	parser chan struct{}
	ready  chan struct{}
	broken atomic.Bool

	hits, misses, plain atomic.Uint64
}

// New starts the parser in the background, which takes about 1.5 s of one core, and returns at once.
func New() *Classifier {
	c := &Classifier{cache: newCache(), parser: make(chan struct{}, 1), ready: make(chan struct{})}
	go c.start()
	return c
}

func (c *Classifier) start() {
	_, err := c.run("SELECT 1")
	if err != nil {
		c.broken.Store(true)
	}
	c.parser <- struct{}{}
	close(c.ready)
}

// Ready is closed when the parser has started.
func (c *Classifier) Ready() <-chan struct{} { return c.ready }

// Broken reports whether the parser failed for good. Texts that are not in the cache are then writes.
func (c *Classifier) Broken() bool { return c.broken.Load() }

// Counts returns how many texts were found in the cache, parsed, and recognised as plain writes without either.
func (c *Classifier) Counts() (hits, misses, plain uint64) {
	return c.hits.Load(), c.misses.Load(), c.plain.Load()
}

// Classify describes the text. It waits for the parser when the text is new; the only error is that of ctx.
func (c *Classifier) Classify(ctx context.Context, text []byte) (*Statement, error) {
	s := scan(text)
	defer s.release()
	if st := s.decide(); st != nil {
		c.plain.Add(1)
		return st, nil
	}
	if st := c.cache.get(s.out); st != nil {
		c.hits.Add(1)
		return st, nil
	}
	c.misses.Add(1)
	st, err := c.parse(ctx, s, s.out)
	if err != nil {
		return nil, err
	}
	if st.Unparsed && !bytes.Equal(s.out, text) {
		// The grammar checks the values of a few literals, so a replaced one can make a valid text invalid.
		return c.parseOriginal(ctx, s)
	}
	c.cache.put(s.out, st)
	return st, nil
}

func (c *Classifier) parseOriginal(ctx context.Context, s *scanner) (*Statement, error) {
	if len(s.text) > maxParseBytes {
		return tooComplex, nil
	}
	return c.parse(ctx, s, s.text)
}

// decide describes texts that need no grammar, or returns nil.
func (s *scanner) decide() *Statement {
	if s.statements == 0 && !s.malformed {
		return emptyText
	}
	single := s.statements == 1 && !s.hazard && !s.malformed
	if single && s.first == wordDML {
		return plainWrite
	}
	if s.malformed {
		return unparsed(s.first)
	}
	if len(s.out) <= maxParseBytes && s.depth.estimate() <= maxDepth {
		return nil
	}
	if single && s.first == wordQuery {
		return plainWrite
	}
	return tooComplex
}

func (c *Classifier) parse(ctx context.Context, s *scanner, text []byte) (*Statement, error) {
	select {
	case <-c.parser:
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for parser")
	}
	defer func() { c.parser <- struct{}{} }()
	if c.broken.Load() {
		return unparsed(s.first), nil
	}
	tree, err := c.run(string(text))
	if errors.Is(err, errParserFailed) {
		c.broken.Store(true)
	}
	if err != nil {
		return unparsed(s.first), nil
	}
	return analyze(tree), nil
}

// run calls the parser. It turns a trap of the WebAssembly code, which the library reports by a panic, into an error.
func (c *Classifier) run(text string) (tree *pganalyze.ParseResult, err error) {
	defer func() {
		if r := recover(); r != nil {
			tree, err = nil, errors.Wrapf(errParserFailed, "%v", r)
		}
	}()
	return pgquery.Parse(text)
}

// unparsed describes a text that the grammar does not accept: a write, unless its first word needs the session.
func unparsed(first wordClass) *Statement {
	s := &Statement{Kind: request.KindWrite, Count: 1, Unparsed: true}
	if first == wordSession || first == wordSet {
		s.Refusal = refuse("statement is not supported over pooled connections or could not be parsed")
	}
	return s
}
