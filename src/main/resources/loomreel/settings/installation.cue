// The schema of loomreel's settings files. A file unifies with #Installation (loomreel daemon) or with #Features
// (loomreel serve --settings), and sets only what differs from the defaults here.

// A duration, with its unit: "250ms", "2s", "1m30s".
#Duration: =~"^([0-9]+(us|ms|s|m|h))+$"

// A number of bytes, with its unit: "64KiB".
#Size: =~"^[0-9]+(B|KiB|MiB|GiB)$"

// An IP address and a port; port 0 is any free one.
#Address: =~"^(\\[[0-9a-fA-F:.]+\\]|[0-9.]+):[0-9]{1,5}$"

// A name that appears in paths, logs and figures.
#Name: =~"^[A-Za-z0-9_.-]{1,64}$"

#Installation: {
	// This dispatcher's name.
	name!: #Name
	// The zone where it runs; workers of the same zone are preferred.
	site: #Name | *"here"
	// How many dispatchers serve the same workers, this one included.
	dispatchers: int & >=1 & <=1000 | *1

	listen!: {
		// The address for HTTP clients and workers' callbacks.
		http!: #Address
		// The address for operators, if there is one.
		operators?: #Address
	}

	// HTTP workers: from discovery, or exactly these. Faktory workers register themselves.
	discovery?: #Address
	workers?: [string]: #Worker

	// Classes of jobs, the more specific ones first; the first segment of a job's path names its class.
	classes!: [=~"^[A-Za-z0-9_.-]{1,64}$"]: #Class
	tenants?: [string]: #Tenant

	limits: #Limits
	rules:  #Rules
	network: #Network

	faktory?: #Faktory
}

// Features that the platform's own configuration has no settings for.
#Features: {
	faktory?: #Faktory
}

#Worker: {
	address!: #Address
	site:     #Name | *"here"
	kind:     string | *""
	block:    int & >=-1 | *-1
	weight:   number & >0 & <=1000 | *1.0
}

#Class: {
	// Idempotency, once an attempt may have run: "free" is retried anywhere, "guarded" within a group that deduplicates
	// by idempotency key, "single_shot" never.
	repeat!: "free" | "guarded" | "single_shot"
	group:   "all" | "zone" | "cell" | *"cell"
	// How long the repetitions of a guarded job are deduplicated.
	window: #Duration | *"0s"
	// The latency objective: a response within this time, plus stretch times the job's own work, has its full weight.
	target!: #Duration
	stretch: number & >=0 & <=100 | *0.0
	// How long a client waits, over all attempts.
	deadline!: #Duration
	worth:     number & >=0 | *1.0
	late_worth: number & >=0 & <=1 | *0.0
	priority:  int & >=0 & <=100 | *0
	// The kind of worker that it needs; empty if any will do.
	kind: string | *""
}

#Tenant: {
	// Its quota: jobs per second, over all dispatchers.
	allowance!: number & >0
}

#Limits: {
	attempts:      int & >=1 & <=4 | *4
	second_copies: bool | *true
	cancelling:    bool | *true
	probing:       bool | *true
	// Whether rejections have a Retry-After, and its upper limit.
	hold_off:     bool | *true
	max_hold_off: #Duration | *"1500ms"
	// The resources of the process.
	memory:      #Size | *"512MiB"
	descriptors: int & >=64 & <=1048576 | *1024
}

#Rules: {
	// For how long attempts may still start on a worker that is listed as draining.
	stop_sending_within: #Duration | *"3s"
	// The longest time between two polls of discovery.
	ask_within: #Duration | *"10s"
	// Slow start: a worker starts with this fraction of its capacity, and has all of it after that time.
	cold_from: number & >0 & <=1 | *0.14
	cold_for:  #Duration | *"24s"
	// A warming worker that is sent this multiple of its capacity, for that long, fails.
	tip_multiple: number & >1 | *2.5
	fall_within:  #Duration | *"3s"
}

#Network: {
	connect_within: #Duration | *"250ms"
	idle_for:       #Duration | *"5s"
	// Where load reports come from: responses, health checks, or nowhere.
	reports: "none" | "answers" | "probes" | *"probes"
	// Whether workers report that a job has started.
	tells_start: bool | *false
}

#Faktory: {
	listen!: #Address
	// Clients and workers prove that they know it; without one, anybody may connect.
	password?: string & =~"^.{1,256}$"
	// How often the password is hashed.
	iterations: int & >=1 & <=100000 | *5000
	// Whether and how workers may connect.
	workers: #FaktoryWorkers
	// The accepted queues and their classes; "*" stands for every other queue.
	queues!: [string]: #Queue
	// Job types whose class is not their queue's.
	job_types?: [string]: #JobType
	// The fraction of the capacity for jobs that Faktory's jobs may use, so that the rest is for HTTP clients.
	share: number & >0 & <=0.9 | *0.5
	backlog: {
		jobs:  int & >=1 & <=10000000 | *100000
		bytes: #Size | *"128MiB"
	}
	connections: int & >=1 & <=100000 | *256
	// The longest command; a PUSHB is one.
	command: #Size | *"4MiB"
	// How often a job without a retry count of its own is retried.
	retry: int & >=-1 & <=100 | *25
	// The first backoff, which grows with the fourth power of the number of failures: Faktory's is 15 s.
	backoff: #Duration | *"15s"
	// How long an ended job is retained: a jid is not accepted twice within that time.
	remember:      #Duration | *"10m"
	remember_most: int & >=1 & <=10000000 | *100000
	// Whether clients may FLUSH and MUTATE.
	may_mutate: bool | *false
	// The directory that stores waiting jobs, which survive the process; "none": they are lost with it.
	spool: string | *"loomreel-spool"
	// Bytes on disk beyond which no job is accepted.
	spool_most: #Size | *"1GiB"
	// What waiting jobs of a class survive once PUSH is acknowledged: "written" a crash, "synced" a power failure as
	// well. The default of a class: "written" if its jobs may run again, else "synced".
	durability?: [string]: "written" | "synced"
}

#FaktoryWorkers: {
	allowed: bool | *true
	// The heartbeat timeout: a worker without a BEAT for this long is removed.
	beat_within: #Duration | *"60s"
	// How long a FETCH waits for a job.
	fetch_wait: #Duration | *"2s"
	// A worker's slots before it has fetched, unless its labels set them ("slots=4"); later they are measured.
	slots: int & >=1 & <=1024 | *1
	// Whether a new worker has a slow start as in the rules. A worker that fetches limits its load itself.
	cold: bool | *false
	// The state that replies to BEAT request of workers during a graceful shutdown.
	on_stop: "stay" | "terminate" | *"quiet"
}

#Queue: {
	class!:  #Name
	weight:  int & >=1 & <=1000 | *1
	tenant?: string
}

#JobType: {
	class!: #Name
}
