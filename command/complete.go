package command

import (
	"errors"
	"strings"
)

// Complete returns the words that may replace the last, unfinished word of text,
// and the length of that word in characters.
func Complete(text string) (words []string, typed int) {
	begin := strings.LastIndexAny(text, " \t\n{}=;") + 1
	prefix := text[begin:]
	for _, word := range wordsAfter(text[:begin]) {
		if strings.HasPrefix(word, prefix) {
			words = append(words, word)
		}
	}
	return words, len([]rune(prefix))
}

// wordsAfter returns the words that the grammar accepts after text.
func wordsAfter(text string) []string {
	tokens, err := tokenize(text)
	if err != nil {
		return nil
	}
	p := &parser{tokens: withoutNewlines(tokens)}
	_, err = p.statement()
	if p.peek().rule != "" {
		return nil
	}
	if err == nil {
		return p.optional
	}
	var syntax *SyntaxError
	if !errors.As(err, &syntax) {
		return nil
	}
	return syntax.Words
}
