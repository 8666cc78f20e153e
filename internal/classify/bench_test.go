package classify

import (
	"context"
	"strconv"
	"testing"
)

const benchQuery = "select id, name, value from meter where id = 4711 and site in (1, 2, 3) and ts > now() - interval " +
	"'1 minute' order by ts desc limit 10"

// BenchmarkHit measures a read whose literals vary and whose normalised text is in the cache.
func BenchmarkHit(b *testing.B) {
	ctx := context.Background()
	texts := make([][]byte, 64)
	for i := range texts {
		texts[i] = []byte(benchQuery + strconv.Itoa(i))
	}
	if _, err := shared.Classify(ctx, texts[0]); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		_, _ = shared.Classify(ctx, texts[i%len(texts)])
	}
}

// BenchmarkPlainWrite measures a write that needs neither cache nor grammar.
func BenchmarkPlainWrite(b *testing.B) {
	ctx := context.Background()
	text := []byte("insert into orders (id, meter, kw, note) values (1234567, 42, 12.5, 'curtail') returning id")
	b.ReportAllocs()
	for b.Loop() {
		_, _ = shared.Classify(ctx, text)
	}
}

// BenchmarkMiss measures a read that the grammar must see.
func BenchmarkMiss(b *testing.B) {
	<-shared.Ready()
	b.ReportAllocs()
	for b.Loop() {
		tree, err := shared.run(benchQuery)
		if err != nil {
			b.Fatal(err)
		}
		analyze(tree)
	}
}
