package losses

import (
	"fmt"
	"io"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
)

// Forecast compares, for the requests of a window that found no room at once, what was forecast and
// what came true.
type Forecast struct {
	// Waited is the number of requests that the forecast let wait, and Room how many of them got
	// room. Error is the mean of the wait less its forecast over the latter, and AbsoluteError the
	// mean of its absolute value.
	Waited, Room         int
	Error, AbsoluteError time.Duration
	// RefusedAtOnce is the number of requests for which no room was forecast in time.
	RefusedAtOnce int
	// Told is the number of refused clients that were told when to come back, Kept how many of them
	// were promised a place.
	Told, Kept int
	// Returned is the number of clients that came back in the window, ReturnedRoom how many of them
	// got room, and ReturnWait their mean wait for it.
	Returned, ReturnedRoom int
	ReturnWait             time.Duration
}

// forecastLine is the forecast of one request and its outcome, as its request_end line holds them.
type forecastLine struct {
	arrived time.Time
	// wait is the forecast wait. atOnce is set if it was too long or if no room was forecast at all.
	wait       time.Duration
	forecast   bool
	atOnce     bool
	room       time.Duration
	gotRoom    bool
	told, kept bool
	returning  bool
}

// addForecast adds what a request_end line tells of a forecast.
func (l *Log) addForecast(line *decisionlog.Line, arrived time.Time) {
	f := forecastLine{
		arrived: arrived, forecast: line.Get("forecast_wait") != "", atOnce: line.Get("refused_at_once") == "true",
		gotRoom: line.Get("room_after") != "", room: l.duration(line, "room_after"),
		told: line.Get("kept") != "", kept: line.Get("kept") == "true", returning: line.Get("returning") == "true",
	}
	if line.Get("forecast_wait") != "none" {
		f.wait = l.duration(line, "forecast_wait")
	}
	if f.forecast || f.told || f.returning {
		l.forecasts = append(l.forecasts, f)
	}
}

// add adds a request to the window of its arrival.
func (w *Forecast) add(f *forecastLine) {
	switch {
	case f.forecast && f.gotRoom:
		w.Waited++
		w.Room++
		off := f.room - f.wait
		w.Error += (off - w.Error) / time.Duration(w.Room)
		w.AbsoluteError += (off.Abs() - w.AbsoluteError) / time.Duration(w.Room)
	case f.atOnce:
		w.RefusedAtOnce++
	case f.forecast:
		w.Waited++
	}
	if f.told {
		w.Told++
	}
	if f.kept {
		w.Kept++
	}
	if !f.returning {
		return
	}
	w.Returned++
	if f.gotRoom {
		w.ReturnedRoom++
		w.ReturnWait += (f.room - w.ReturnWait) / time.Duration(w.ReturnedRoom)
	}
}

// writeForecasts writes the table of forecasts. Windows without any have no row.
func (r *Report) writeForecasts(w io.Writer) {
	if len(r.log.forecasts) == 0 {
		return
	}
	fmt.Fprint(w, "\nFORECAST\twaited\tgot_room\terror\tabs_error\trefused_at_once\ttold\tkept\treturned\tgot_room\treturn_wait\t\n")
	for i := range r.Windows {
		f := &r.Windows[i].Forecast
		if *f == (Forecast{}) {
			continue
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t\n", r.Windows[i].From, f.Waited, f.Room,
			f.Error.Round(time.Millisecond), f.AbsoluteError.Round(time.Millisecond), f.RefusedAtOnce, f.Told, f.Kept,
			f.Returned, f.ReturnedRoom, f.ReturnWait.Round(time.Millisecond))
	}
}
