// Example of an installation: `loomreel daemon deploy/loomreel.cue`. `loomreel schema` prints every field.
name: "example"
site: "here"

listen: {
	http:      "127.0.0.1:8000"
	operators: "127.0.0.1:8001"
}

// Rendering a page is idempotent; an entry must never be recorded twice.
classes: {
	render: {repeat: "free", target: "1s", stretch: 2, deadline: "10s", worth: 1}
	record: {repeat: "single_shot", target: "500ms", stretch: 2, deadline: "8s", worth: 3}
}

tenants: "office": allowance: 50

// HTTP workers; Faktory workers register themselves.
workers: {
	"w-1": {address: "127.0.0.1:8101", site: "here"}
	"w-2": {address: "127.0.0.1:8102", site: "here"}
}

faktory: {
	listen: "127.0.0.1:7419"
	queues: {
		pages: {class: "render", weight: 3}
		entries: {class: "record", tenant: "office"}
	}
	job_types: Record: class: "record"
}
