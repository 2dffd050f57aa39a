package statement

// The lists of words by which statements are classified. All words are in lower case.

// maxWordLength is the length of the longest word that a list may hold.
const maxWordLength = 32

// class is the set of lists that a word is in.
type class uint8

const (
	classWrite class = 1 << iota
	classCallable
	classRefused
	classNeedsTransaction
	// classWithPrevious words matter only after certain other words; see checkWord.
	classWithPrevious
)

// wordClasses maps each word to its lists. With a single map, each word takes one
// lookup.
var wordClasses = make(map[string]class)

// Words that make a statement a write at any place outside strings and comments. FOR
// begins a locking clause.
var _ = addWords(classWrite,
	"insert", "update", "delete", "merge", "into", "for",
	"create", "drop", "alter", "truncate", "grant", "revoke", "copy", "lock",
	"call", "do", "execute", "vacuum", "analyze", "analyse", "reindex",
	"cluster", "refresh", "nextval", "setval",
)

// Words that may stand before an opening parenthesis in a read: keywords, types with a
// length, and functions that neither write nor leave state on the connection.
var _ = addWords(classCallable,
	// Keywords.
	"select", "from", "where", "and", "or", "not", "in", "exists", "any", "all", "some",
	"as", "on", "using", "by", "over", "filter", "group", "values", "with", "materialized",
	"union", "except", "intersect", "distinct", "having", "join", "lateral", "limit",
	"offset", "fetch", "first", "next", "like", "ilike", "between", "is", "case", "when",
	"then", "else", "end", "array", "row", "returning", "order", "partition", "explain",
	"interval", "rollup", "cube", "sets", "tablesample", "only", "ordinality",
	// Types.
	"char", "character", "varchar", "varying", "bit", "numeric", "decimal", "dec", "float",
	"time", "timestamp",
	// Expressions with special syntax.
	"cast", "coalesce", "nullif", "greatest", "least", "extract", "trim", "position",
	"overlay", "substring", "grouping",
	// Aggregates and window functions.
	"count", "sum", "min", "max", "avg", "bool_and", "bool_or", "every", "string_agg",
	"array_agg", "json_agg", "jsonb_agg", "json_object_agg", "jsonb_object_agg", "stddev",
	"variance", "row_number", "rank", "dense_rank", "ntile", "lag", "lead", "first_value",
	"last_value", "nth_value", "percentile_cont", "percentile_disc", "mode",
	// Text.
	"lower", "upper", "length", "char_length", "octet_length", "btrim", "ltrim", "rtrim",
	"substr", "replace", "left", "right", "lpad", "rpad", "concat", "concat_ws",
	"split_part", "strpos", "starts_with", "initcap", "reverse", "repeat", "format",
	"md5", "regexp_replace", "regexp_match", "regexp_matches", "to_char", "quote_ident",
	"quote_literal",
	// Numbers.
	"abs", "ceil", "ceiling", "floor", "round", "trunc", "mod", "power", "sqrt", "sign",
	// Times.
	"now", "date_trunc", "date_part", "age", "to_timestamp", "to_date", "make_date",
	"make_interval", "statement_timestamp", "transaction_timestamp", "clock_timestamp",
	// Sets, arrays and JSON.
	"generate_series", "unnest", "cardinality", "array_length", "array_position",
	"array_to_string", "string_to_array", "json_build_object", "jsonb_build_object",
	"jsonb_array_elements", "json_array_elements", "jsonb_extract_path_text", "to_json",
	"to_jsonb", "row_to_json", "version", "current_database", "current_schema",
	"pg_typeof",
)

// Functions whose effect stays on the connection after the transaction, where it would
// affect the next caller, or that act on the connections of other callers.
var _ = addWords(classRefused,
	"set_config", "pg_advisory_lock", "pg_advisory_lock_shared", "pg_try_advisory_lock",
	"pg_try_advisory_lock_shared", "pg_advisory_unlock", "pg_advisory_unlock_shared",
	"pg_advisory_unlock_all", "pg_terminate_backend", "pg_cancel_backend", "pg_temp",
)

// Functions that read state which an earlier statement left on the connection. Outside a
// transaction, each statement may run on another connection.
var _ = addWords(classNeedsTransaction, "currval", "lastval")

// Words that are checked together with the word before them.
var _ = addWords(classWithPrevious, "temp", "temporary", "hold", "only", "write")

// addWords adds words to wordClasses. It returns their number, so that a package
// variable can be initialized with the call.
func addWords(c class, words ...string) int {
	for _, w := range words {
		if len(w) > maxWordLength {
			panic("statement: a listed word is longer than maxWordLength: " + w)
		}
		wordClasses[w] |= c
	}
	return len(words)
}

// lowerWord is a word in lower case. It is an array rather than a string, so that
// folding the case does not allocate.
type lowerWord struct {
	text [maxWordLength]byte
	n    int
}

// toLowerWord returns the word in lower case, or the empty word if it is too long for
// any list.
func toLowerWord(word string) lowerWord {
	var w lowerWord
	if len(word) > maxWordLength {
		return w
	}
	for i := range len(word) {
		c := word[i]
		if c >= 'A' && c <= 'Z' {
			c |= 0x20
		}
		w.text[i] = c
	}
	w.n = len(word)
	return w
}

// lookupClass returns the lists that the word is in.
func (w *lowerWord) lookupClass() class { return wordClasses[string(w.text[:w.n])] }

// is reports whether w is one of the words.
func (w *lowerWord) is(words ...string) bool {
	for _, word := range words {
		if string(w.text[:w.n]) == word {
			return true
		}
	}
	return false
}
