// What an installation of loomreel is. A file of settings unifies with #Installation (loomreel daemon) or with #Features
// (loomreel serve --settings), and says only what differs from the defaults here.

// A length of time, with its unit: "250ms", "2s", "1m30s".
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
	// The site that it stands in; copy workers of the same site are nearer.
	site: #Name | *"here"
	// How many dispatchers serve the same copy workers, this one included.
	dispatchers: int & >=1 & <=1000 | *1

	listen!: {
		// Where HTTP clients and call-backs come to.
		http!: #Address
		// The second address, for operators.
		operators?: #Address
	}

	// Copy workers over HTTP: from discovery, or these and no others. Faktory copy workers come by themselves.
	discovery?: #Address
	workers?: [string]: #Worker

	// Classes of jobs, the more particular before the rest; a class is the first part of a job's path.
	classes!: [=~"^[A-Za-z0-9_.-]{1,64}$"]: #Class
	tenants?: [string]: #Tenant

	limits: #Limits
	rules:  #Rules
	network: #Network

	faktory?: #Faktory
}

// What the platform's own configuration does not hold.
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
	// What may be done once an attempt might have run: "free" repeats it anywhere, "guarded" within a group that drops
	// repeats, "single_shot" never.
	repeat!: "free" | "guarded" | "single_shot"
	group:   "all" | "zone" | "cell" | *"cell"
	// How long a guarded job's repeats are dropped.
	window: #Duration | *"0s"
	// An answer within this time, and stretch times the job's own work, has its full worth.
	target!: #Duration
	stretch: number & >=0 & <=100 | *0.0
	// How long a client waits in all.
	deadline!: #Duration
	worth:     number & >=0 | *1.0
	late_worth: number & >=0 & <=1 | *0.0
	priority:  int & >=0 & <=100 | *0
	// The kind of copy worker that runs it; any does where this is empty.
	kind: string | *""
}

#Tenant: {
	// Jobs a second, over all dispatchers, that are within its share.
	allowance!: number & >0
}

#Limits: {
	attempts:      int & >=1 & <=4 | *4
	second_copies: bool | *true
	cancelling:    bool | *true
	probing:       bool | *true
	// Whether clients are told when to come back, and the longest time that they are sent away for.
	hold_off:     bool | *true
	max_hold_off: #Duration | *"1500ms"
	// What the process may use.
	memory:      #Size | *"512MiB"
	descriptors: int & >=64 & <=1048576 | *1024
}

#Rules: {
	// Nothing new goes to a copy worker so long after it was told to be leaving.
	stop_sending_within: #Duration | *"3s"
	// How long discovery may go unasked.
	ask_within: #Duration | *"10s"
	// A copy worker starts at this share of what it can do, and is warm after that time.
	cold_from: number & >0 & <=1 | *0.14
	cold_for:  #Duration | *"24s"
	// Sent this multiple of what it can do, for that long, it falls over.
	tip_multiple: number & >1 | *2.5
	fall_within:  #Duration | *"3s"
}

#Network: {
	connect_within: #Duration | *"250ms"
	idle_for:       #Duration | *"5s"
	// Where load reports travel: with answers, with probes, or nowhere.
	reports: "none" | "answers" | "probes" | *"probes"
	// Whether copy workers tell when a job starts.
	tells_start: bool | *false
}

#Faktory: {
	listen!: #Address
	// Clients and copy workers prove that they know it; without one, anybody may come.
	password?: string & =~"^.{1,256}$"
	// How often the password is hashed.
	iterations: int & >=1 & <=100000 | *5000
	// Whether copy workers may come, and how.
	workers: #FaktoryWorkers
	// The queues that are taken, and what is in them; "*" stands for every other one.
	queues!: [string]: #Queue
	// Job types whose class is not their queue's.
	job_types?: [string]: #JobType
	// The part of all room for jobs that jobs from here may hold, so that HTTP clients keep theirs.
	share: number & >0 & <=0.9 | *0.5
	backlog: {
		jobs:  int & >=1 & <=10000000 | *100000
		bytes: #Size | *"128MiB"
	}
	connections: int & >=1 & <=100000 | *256
	// The longest command; a PUSHB is one.
	command: #Size | *"4MiB"
	// How often a job is tried again where it does not say.
	retry: int & >=-1 & <=100 | *25
	// The first wait before that, which grows with the fourth power of the count: Faktory's is 15 s.
	backoff: #Duration | *"15s"
	// How long an ended job is remembered: a jid is not taken twice within that time.
	remember:      #Duration | *"10m"
	remember_most: int & >=1 & <=10000000 | *100000
	// Whether clients may FLUSH and MUTATE.
	may_mutate: bool | *false
	// The directory in which jobs that wait outlive stops and kills; "none": they are lost with the process.
	spool: string | *"loomreel-spool"
	// Bytes on disk beyond which no job is taken.
	spool_most: #Size | *"1GiB"
	// What waiting jobs of a class outlive once PUSH is answered: "written" the process, "synced" the machine's power as
	// well. Where a class is not named here: "written" if its jobs may run again, else "synced".
	durability?: [string]: "written" | "synced"
}

#FaktoryWorkers: {
	allowed: bool | *true
	// Without a BEAT for so long a copy worker is gone.
	beat_within: #Duration | *"60s"
	// How long a FETCH waits for a job.
	fetch_wait: #Duration | *"2s"
	// Jobs at a time before it has fetched, where its labels do not say ("slots=4"); then what it takes at a time.
	slots: int & >=1 & <=1024 | *1
	// Whether one that has just come is cold, as the rules say. One that fetches takes no more than it can run.
	cold: bool | *false
	// What copy workers are told in the answers to BEAT while this process stops.
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
