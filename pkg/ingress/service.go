package ingress

import (
	"math/rand/v2"
	"time"

	"github.com/hopwell/hopwell/pkg/resume"
	"github.com/hopwell/hopwell/pkg/routetable"
)

// pickService returns the service of a request. What two services write does not fit together, so the requests of a
// client for one stream get the same service at each gateway: that which this gateway recorded, or that which the ID
// of the request that brought the first event determines.
func (x *exchange) pickService() string {
	if len(x.route.Targets) == 1 || x.route.Kind != routetable.Stream {
		return x.route.Pick(rand.Float64())
	}
	if !x.resumed() {
		return x.route.Pick(resume.Draw(x.call.ID))
	}
	for _, t := range x.route.Targets {
		if _, known := x.g.origins.Find(x.streamKeyAt(t.Service, x.call.OriginID), time.Now()); known {
			return t.Service
		}
	}
	return x.route.Pick(resume.Draw(x.call.OriginID))
}

// checkService returns *resume.ErrUnknown if the service of a resumed stream can't be known.
func (x *exchange) checkService() error {
	if len(x.route.Targets) == 1 || x.call.OriginID != "" {
		return nil
	}
	return &resume.ErrUnknown{Service: x.service, Why: resume.NotNamed}
}
