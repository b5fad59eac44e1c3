package feed

import (
	"context"
	"time"

	"siskintray.example/siskin"
)

func (f *Feed) evacuationsConfirmedAt() time.Time {
	_, _, at := f.cfg.Roster.Evacuations()
	return at
}

// readEvacuations reads the evacuated data centres, whose IDs are the names of
// the objects.
func (f *Feed) readEvacuations(ctx context.Context, startedAt time.Time) error {
	l, err := f.cfg.Store.List(ctx, f.cfg.EvacuationKind)
	if err != nil {
		return err
	}
	list := make([]siskin.DataCentreID, 0, len(l.Objects))
	for _, o := range l.Objects {
		list = append(list, siskin.DataCentreID(o.Name))
	}
	f.cfg.Roster.ReplaceEvacuations(list, l.Version, startedAt)
	return nil
}
