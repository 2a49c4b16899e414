package state

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"

	"heronwick/wire"
)

// listPageSize is the number of keys that List requests per page.
const listPageSize = 1000

// Listing holds all keys under a prefix, sorted, as of one revision.
type Listing struct {
	Items    []wire.Item
	Revision uint64
	Pages    int // number of responses that the keys were read in
}

// List reads every key under prefix as of one revision. The store responds with one page at
// a time, and keys may change between two pages: a record that moves from a key on a page
// that is still to be read to a key on one that has been read would be on neither. So the
// changes since the first page are read too, and applied.
func (c *Client) List(ctx context.Context, p Priority, prefix string) (Listing, error) {
	listing, err := c.readPages(ctx, p, prefix)
	if err != nil || listing.Pages == 1 {
		return listing, err
	}
	events, err := c.watch(ctx, p, prefix, listing.Revision, 0)
	if err != nil {
		return Listing{}, fmt.Errorf("reading the changes since the first page under %s: %w", prefix, err)
	}
	return listing.withEvents(events)
}

// readPages reads every key under prefix, page by page. The revision is that of the first
// page; later pages may be newer.
func (c *Client) readPages(ctx context.Context, p Priority, prefix string) (Listing, error) {
	var listing Listing
	after := ""
	for {
		var page wire.ItemList
		if _, err := c.call(ctx, p, http.MethodGet, listTarget(prefix, after), nil, &page); err != nil {
			return Listing{}, err
		}
		if listing.Pages == 0 {
			listing.Revision = page.Revision
		}
		listing.Pages++
		listing.Items = append(listing.Items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return listing, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// withEvents returns the listing as of the revision of the events, which must be all that
// followed the listing's revision.
func (l Listing) withEvents(events wire.Events) (Listing, error) {
	items := make(map[string]wire.Item, len(l.Items))
	for _, item := range l.Items {
		items[item.Key] = item
	}
	for _, event := range events.Events {
		if event.Put != "" {
			items[event.Put] = wire.Item{Key: event.Put, Value: event.Value, Version: event.Version}
		} else {
			delete(items, event.Delete)
		}
	}
	current := Listing{Revision: max(l.Revision, events.Revision), Pages: l.Pages}
	for _, key := range slices.Sorted(maps.Keys(items)) {
		item := items[key]
		if item.Version > current.Revision {
			return Listing{}, fmt.Errorf("%w: %s is of revision %d, but its changes were read up to %d only",
				ErrUnavailable, key, item.Version, current.Revision)
		}
		current.Items = append(current.Items, item)
	}
	return current, nil
}

// listTarget returns the request target of one page of the keys under prefix. The
// page begins after the key after; an empty after selects the first page.
func listTarget(prefix, after string) string {
	target := fmt.Sprintf("%s?under=%s&most=%d", wire.PathKeys, url.QueryEscape(prefix), listPageSize)
	if after != "" {
		target += "&after=" + url.QueryEscape(after)
	}
	return target
}
