package lister

import (
	"bytes"
	"encoding/json"
	"net"
	"strconv"

	"github.com/pkg/errors"

	"egretring.example/egretring/describer"
)

// decodeListing decodes a listing. Entries that cannot be used are left out, because other programs write to the list, too.
func decodeListing(text []byte) (Listing, error) {
	fields, err := splitObject(text)
	if err != nil {
		return Listing{}, err
	}
	var listing Listing
	for _, element := range fields["BackendServers"] {
		var server describer.BackendServer
		if json.Unmarshal(element, &server) == nil && server.ID != "" && isAddress(server.Address) {
			listing.BackendServers = append(listing.BackendServers, server)
		}
	}
	for _, element := range fields["Instances"] {
		var instance describer.Instance
		if json.Unmarshal(element, &instance) == nil && instance.ID != "" && isAddress(instance.PeerAddress) {
			listing.Instances = append(listing.Instances, instance)
		}
	}
	return listing, nil
}

// isAddress reports whether a text is a host and a port that exists.
func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}

// splitObject returns the texts of the elements of each array in a JSON object. Unlike the decoder of whole values, it limits
// neither the nesting nor the numbers of an element.
func splitObject(text []byte) (map[string][][]byte, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return nil, errors.New("instance list is no JSON object")
	}
	fields := make(map[string][][]byte)
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return nil, errors.Wrap(err, "read field of instance list")
		}
		elements, err := splitArray(decoder, text)
		if err != nil {
			return nil, errors.Wrapf(err, "read field %v of instance list", name)
		}
		if key, ok := name.(string); ok {
			fields[key] = elements
		}
	}
	_, err := decoder.Token()
	return fields, errors.Wrap(err, "read end of instance list")
}

// splitArray returns the texts of the elements of the array that follows, or none for another value.
func splitArray(decoder *json.Decoder, text []byte) ([][]byte, error) {
	token, err := decoder.Token()
	if err != nil {
		return nil, err
	}
	if token != json.Delim('[') {
		return nil, skipRest(decoder, token)
	}
	var elements [][]byte
	for decoder.More() {
		start := decoder.InputOffset()
		first, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		if err := skipRest(decoder, first); err != nil {
			return nil, err
		}
		elements = append(elements, bytes.TrimLeft(text[start:decoder.InputOffset()], ", \t\r\n"))
	}
	_, err = decoder.Token()
	return elements, err
}

// skipRest reads the rest of a value whose first token was read.
func skipRest(decoder *json.Decoder, first json.Token) error {
	depth := depthChange(first)
	for depth > 0 {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		depth += depthChange(token)
	}
	return nil
}

func depthChange(token json.Token) int {
	switch token {
	case json.Delim('{'), json.Delim('['):
		return 1
	case json.Delim('}'), json.Delim(']'):
		return -1
	}
	return 0
}
