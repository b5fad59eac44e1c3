package daemon

import (
	"bytes"
	"os"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/cfgini"
	"siskintray.example/siskin/pkg/token"
)

// loadTokens reads the keys that sign session tokens.
func loadTokens(s cfgini.Token) (*token.Codec, error) {
	current, previous, err := readKeys(s)
	if err != nil {
		return nil, err
	}
	return token.NewCodec(current, previous)
}

func readKeys(s cfgini.Token) (current, previous []byte, err error) {
	if current, err = readKey(s.KeyFile); err != nil {
		return nil, nil, err
	}
	if s.PreviousKeyFile != "" {
		previous, err = readKey(s.PreviousKeyFile)
	}
	return current, previous, err
}

func readKey(path string) ([]byte, error) {
	key, err := os.ReadFile(path)
	if err != nil {
		return nil, siskin.NewError(siskin.BadInput, "token key %s cannot be read", path).
			WithRemedy("correct Token.KeyFile or create the file with 32 random characters").WithCause(err)
	}
	return bytes.TrimSpace(key), nil
}
