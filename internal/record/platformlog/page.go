package platformlog

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// decodePage reads a page entry by entry. A page that is cut, because it is
// too large or too slow, counts as far as it was read: otherwise a reader that
// cannot take the whole page would ask for it again for ever.
func decodePage(body io.Reader) (Page, error) {
	d := pageDecoder{json: json.NewDecoder(body)}
	err := d.page()
	if err == nil {
		return d.result, nil
	}
	if count := len(d.result.Entries); count > 0 {
		d.result.Next = d.result.Entries[count-1].Offset + 1
		return d.result, nil
	}
	return Page{}, fmt.Errorf("decode log page: %w", err)
}

type pageDecoder struct {
	json   *json.Decoder
	result Page
}

func (d *pageDecoder) page() error {
	if err := d.expect(json.Delim('{')); err != nil {
		return err
	}
	for d.json.More() {
		key, err := d.json.Token()
		if err != nil {
			return err
		}
		if err := d.field(key); err != nil {
			return err
		}
	}
	return d.expect(json.Delim('}'))
}

func (d *pageDecoder) field(key json.Token) error {
	switch key {
	case "entries":
		return d.entries()
	case "next":
		return d.json.Decode(&d.result.Next)
	case "earliest":
		return d.json.Decode(&d.result.Earliest)
	}
	var other json.RawMessage
	return d.json.Decode(&other)
}

func (d *pageDecoder) entries() error {
	first, err := d.json.Token()
	if err != nil || first == nil {
		return err
	}
	if first != json.Delim('[') {
		return errors.New("entries are not a list")
	}
	for d.json.More() {
		var e entryReply
		if err := d.json.Decode(&e); err != nil {
			return err
		}
		d.result.Entries = append(d.result.Entries, Entry(e))
	}
	return d.expect(json.Delim(']'))
}

func (d *pageDecoder) expect(want json.Delim) error {
	got, err := d.json.Token()
	if err != nil {
		return err
	}
	if got != want {
		return fmt.Errorf("found %v: want %v", got, want)
	}
	return nil
}
