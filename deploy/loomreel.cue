// An installation by itself: `loomreel daemon deploy/loomreel.cue`. All that may stand here: `loomreel schema`.
name: "office"
site: "montreal"

listen: {
	http:      "127.0.0.1:8000"
	operators: "127.0.0.1:8001"
}

// Certified copies may be rendered again; an issuance must never run twice.
classes: {
	copy: {repeat: "free", target: "1200ms", stretch: 2.5, deadline: "5s", worth: 5}
	issue: {repeat: "single_shot", target: "600ms", stretch: 1.75, deadline: "5s", worth: 2}
}

tenants: "montreal-office": allowance: 80

// HTTP copy workers; those that speak Faktory come by themselves.
workers: {
	"w-1": {address: "127.0.0.1:8101", site: "montreal"}
	"w-2": {address: "127.0.0.1:8102", site: "montreal"}
}

faktory: {
	listen: "127.0.0.1:7419"
	queues: {
		copies: {class: "copy", weight: 3}
		renewals: {class: "issue", tenant: "montreal-office"}
	}
	job_types: Renew: class: "issue"
}
